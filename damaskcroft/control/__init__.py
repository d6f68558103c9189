"""The program damask-control: the replicated state and its services."""
