"""What every daemon does with its settings file before it starts."""

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
_EXIT_BAD_SETTINGS = 2


def settings_or_exit(
    path: pathlib.Path | None,
    kind: type[_SettingsT],
    *,
    check: bool,
    reference: bool,
) -> _SettingsT:
    """Loads settings, or ends the process as the flags and faults ask.

    Args:
        path: the settings file.
        kind: the settings message of the program.
        check: only check the file.
        reference: only print every key with meaning, unit and default.

    Raises:
        SystemExit: 2 with all faults on standard error; 0 after a check.
    """
    if reference:
        print(settings_reference(kind))
        raise SystemExit(0)
    if path is None:
        print("a settings file is needed", file=sys.stderr)
        raise SystemExit(_EXIT_BAD_SETTINGS)
    settings = load_settings(path, kind)
    if isinstance(settings, SettingsFaults):
        for fault in settings.faults:
            print(fault, file=sys.stderr)
        raise SystemExit(_EXIT_BAD_SETTINGS)
    if check:
        print(f"{path}: settings are valid")
        raise SystemExit(0)
    return settings
