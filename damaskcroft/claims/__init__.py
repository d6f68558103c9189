"""At-most-once claims and the answers kept for them."""

from damaskcroft.claims._table import ClaimTable

__all__ = ["ClaimTable"]
