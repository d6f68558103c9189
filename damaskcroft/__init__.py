"""Brings new model weights to serving instances while they answer requests."""

__all__: list[str] = []
