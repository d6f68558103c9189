"""The program damask-agent: the process beside each target."""
