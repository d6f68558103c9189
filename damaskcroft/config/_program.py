"""Loads a program's settings, or ends the process with a status."""

import pathlib
import sys
from typing import TypeVar

from google.protobuf.message import Message

from damaskcroft.config._loader import (
    SettingsFaults,
    load_settings,
    settings_reference,
)

_SettingsT = TypeVar("_SettingsT", bound=Message)
_EXIT_INVALID_SETTINGS = 2


def settings_or_exit(
    path: pathlib.Path | None,
    kind: type[_SettingsT],
    *,
    check: bool,
    reference: bool,
) -> _SettingsT:
    """Returns the settings; exits on faults, `check` or `reference`.

    Args:
        path: the settings file; None if the caller gave none.
        kind: type of the program's settings message.
        check: only validate the file.
        reference: only print all keys with meaning, unit and default.

    Raises:
        SystemExit: status 2 after printing all faults to standard error;
            status 0 after `check` or `reference`.
    """
    if reference:
        print(settings_reference(kind))
        raise SystemExit(0)
    if path is None:
        print("a settings file is needed", file=sys.stderr)
        raise SystemExit(_EXIT_INVALID_SETTINGS)
    settings = load_settings(path, kind)
    if isinstance(settings, SettingsFaults):
        for fault in settings.faults:
            print(fault, file=sys.stderr)
        raise SystemExit(_EXIT_INVALID_SETTINGS)
    if check:
        print(f"{path}: settings are valid")
        raise SystemExit(0)
    return settings
