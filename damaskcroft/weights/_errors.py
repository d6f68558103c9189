"""Errors of weights and their store."""


class WeightsError(Exception):
    """Base of every error of this package."""


class ManifestError(WeightsError):
    """A manifest that is malformed or isn't the one that was named."""


class StoreFullError(WeightsError):
    """The byte budget admits no further version."""
