"""Requests that crash the targets that run them, known by the whole fleet."""

from damaskcroft.quarantine._book import CrashBook, Quarantined
from damaskcroft.quarantine._copies import Copies
from damaskcroft.quarantine._evidence import CrashWatch, Loss, is_gone
from damaskcroft.quarantine._fingerprint import fingerprint

__all__ = [
    "Copies",
    "CrashBook",
    "CrashWatch",
    "Loss",
    "Quarantined",
    "fingerprint",
    "is_gone",
]
