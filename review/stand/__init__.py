"""Stand-ins and process control for the cases; standard library only."""
