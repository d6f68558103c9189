"""Stand-ins for external components, load generators and benchmarks.

Used only in development; no process of the system imports this package.
"""
