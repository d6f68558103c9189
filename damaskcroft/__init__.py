"""Delivers model weights to serving instances and routes requests to them.

Weights are updated while the instances continue to answer requests.
"""

__all__: list[str] = []
