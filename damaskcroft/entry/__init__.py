"""The program damask-entry: HTTP for callers, admission and dispatch."""
