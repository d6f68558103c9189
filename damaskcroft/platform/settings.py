"""Decoder for the platform's settings file."""

import os
import pathlib
import tomllib
from typing import Any

from damaskcroft.fleet import Bounds, NodeSettings

__all__ = ["SettingsFileError", "load_node_settings"]

_PATH_VARIABLE = "DAMASKCROFT_NODE_FILE"


class SettingsFileError(Exception):
    """The settings file is missing or unreadable, or a field is invalid."""


class _Table:
    """A table of the file; its errors state the path of the field."""

    def __init__(self, values: Any, path: str):
        if not isinstance(values, dict):
            raise SettingsFileError(f"{path or 'the file'} is not a table")
        self._values = values
        self._path = path

    def text(self, name: str, default: str | None = None) -> str:
        return str(self._get_checked(name, str, default))

    def number(self, name: str, default: float | None = None) -> float:
        return float(self._get_checked(name, (int, float), default))

    def flag(self, name: str, default: bool | None = None) -> bool:
        return bool(self._get_checked(name, bool, default))

    def items(self, name: str, default: list | None = None) -> list:
        return list(self._get_checked(name, list, default))

    def table(self, name: str) -> "_Table":
        return _Table(self._values.get(name), f"{self._path}[{name}]")

    def texts_by_name(self) -> dict[str, str]:
        return {key: str(value) for key, value in self._values.items()}

    def _get_checked(self, name: str, kind: Any, default: Any) -> Any:
        value = self._values.get(name, default)
        if value is None:
            raise SettingsFileError(f"{self._path}{name}: missing")
        wrong_bool = isinstance(value, bool) and kind is not bool
        if wrong_bool or not isinstance(value, kind):
            raise SettingsFileError(f"{self._path}{name}: wrong type")
        return value


def load_node_settings() -> NodeSettings:
    """Reads the settings file whose path an environment variable holds.

    Raises:
        SettingsFileError: with one line naming the variable, file or field.
    """
    name = os.environ.get(_PATH_VARIABLE)
    if not name:
        raise SettingsFileError(f"{_PATH_VARIABLE}: not set")
    try:
        values = tomllib.loads(pathlib.Path(name).read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsFileError(f"{name}: {error}") from error
    return decode_settings(values)


def decode_settings(values: dict[str, Any]) -> NodeSettings:
    """Converts the file's tables into settings.

    Raises:
        SettingsFileError: with one line naming the field.
    """
    root = _Table(values, "")
    listen = root.table("listen")
    limits = root.table("limits")
    ports = root.items("internal_ports")
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise SettingsFileError("internal_ports: not two numbers")
    folder = root.text("data_dir", "")
    return NodeSettings(
        name=root.text("node_name"),
        ip=root.text("ip"),
        failure_domain=root.text("zone"),
        region_by_domain=root.table("zones").texts_by_name(),
        first_port=ports[0],
        last_port=ports[1],
        seeds=tuple(str(seed) for seed in root.items("seeds")),
        first_start=root.flag("bootstrap", False),
        data_folder=pathlib.Path(folder) if folder else None,
        caller_address=listen.text("front", ""),
        ready_address=listen.text("ready_address", ""),
        control_address=listen.text("control", ""),
        target_address=root.text("app", ""),
        target_service=root.text("service", ""),
        announce_every_s=root.number("heartbeat_ms") / 1000,
        link_mbps=limits.number("link_mbps"),
        max_files=int(limits.number("max_fds")),
        bounds=_bounds(root.table("bounds")),
    )


def _bounds(table: _Table) -> Bounds:
    return Bounds(
        drain_s=table.number("drain_ms", 2000) / 1000,
        grace_s=table.number("grace_s"),
        configuration_s=table.number("config_apply_ms", 2000) / 1000,
        retry_ratio=table.number("retry_budget_ratio", 0.2),
        retry_window_s=table.number("budget_window_s", 10),
        retry_extra=table.number("retry_budget_extra", 0),
        weights_s=table.number("version_ms", 0) / 1000,
        cold_ratio=table.number("cold_overage", 1),
        cold_extra=table.number("cold_slack", 0),
    )
