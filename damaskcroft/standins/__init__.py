"""Stand-ins for what surrounds the system; for development only."""
