"""Errors of the distribution and storage of weights."""


class WeightsError(Exception):
    """Base of every error of this package."""


class ManifestError(WeightsError):
    """A manifest that is malformed or has another digest than expected."""


class StoreFullError(WeightsError):
    """The byte budget has no room for a further version."""
