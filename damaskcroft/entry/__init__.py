"""The program damask-entry: callers' HTTP, admission and dispatch."""
