"""Loads typed and validated settings from INI files."""

from damaskcroft.config._loader import (
    SettingsFault,
    SettingsFaults,
    load_settings,
    settings_reference,
)
from damaskcroft.config._program import settings_or_exit

__all__ = [
    "SettingsFault",
    "SettingsFaults",
    "load_settings",
    "settings_or_exit",
    "settings_reference",
]
