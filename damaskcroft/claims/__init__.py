"""Claims for running a request at most once, and their stored answers."""

from damaskcroft.claims._table import ClaimTable

__all__ = ["ClaimTable"]
