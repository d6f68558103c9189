"""Typed, validated settings read from INI files."""

from damaskcroft.config._loader import (
    Fault,
    SettingsFaults,
    load_settings,
    settings_reference,
)
from damaskcroft.config._program import settings_or_exit

__all__ = [
    "Fault",
    "SettingsFaults",
    "load_settings",
    "settings_or_exit",
    "settings_reference",
]
