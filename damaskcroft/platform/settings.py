"""The platform's settings file, decoded into the product's types."""

import os
import pathlib
import tomllib
from typing import Any

from damaskcroft.fleet import Bounds, NodeSettings

__all__ = ["SettingsFileError", "load_node_settings"]

_FILE_VARIABLE = "DAMASKCROFT_NODE_FILE"


class SettingsFileError(Exception):
    """The settings file is missing, unreadable, or lacks a field."""


class _Table:
    """A table of the file that names the field it misses."""

    def __init__(self, values: Any, place: str):
        if not isinstance(values, dict):
            raise SettingsFileError(f"{place or 'the file'} is not a table")
        self._values = values
        self._place = place

    def text(self, name: str, default: str | None = None) -> str:
        return str(self._checked(name, str, default))

    def number(self, name: str, default: float | None = None) -> float:
        return float(self._checked(name, (int, float), default))

    def flag(self, name: str, default: bool | None = None) -> bool:
        return bool(self._checked(name, bool, default))

    def items(self, name: str, default: list | None = None) -> list:
        return list(self._checked(name, list, default))

    def table(self, name: str) -> "_Table":
        return _Table(self._values.get(name), f"{self._place}[{name}]")

    def texts_by_name(self) -> dict[str, str]:
        return {key: str(value) for key, value in self._values.items()}

    def _checked(self, name: str, kind: Any, default: Any) -> Any:
        value = self._values.get(name, default)
        if value is None:
            raise SettingsFileError(f"{self._place}{name}: missing")
        wrong_bool = isinstance(value, bool) and kind is not bool
        if wrong_bool or not isinstance(value, kind):
            raise SettingsFileError(f"{self._place}{name}: wrong type")
        return value


def load_node_settings() -> NodeSettings:
    """Reads the file that the environment names.

    Raises:
        SettingsFileError: with one line that names the field.
    """
    name = os.environ.get(_FILE_VARIABLE)
    if not name:
        raise SettingsFileError(f"{_FILE_VARIABLE}: not set")
    try:
        values = tomllib.loads(pathlib.Path(name).read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsFileError(f"{name}: {error}") from error
    return decode_settings(values)


def decode_settings(values: dict[str, Any]) -> NodeSettings:
    """Turns the file's tables into settings.

    Raises:
        SettingsFileError: with one line that names the field.
    """
    top = _Table(values, "")
    listen = top.table("listen")
    limits = top.table("limits")
    ports = top.items("internal_ports")
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise SettingsFileError("internal_ports: not two numbers")
    folder = top.text("data_dir", "")
    return NodeSettings(
        name=top.text("node_name"),
        ip=top.text("ip"),
        failure_domain=top.text("zone"),
        region_by_domain=top.table("zones").texts_by_name(),
        first_port=ports[0],
        last_port=ports[1],
        seeds=tuple(str(seed) for seed in top.items("seeds")),
        first_start=top.flag("bootstrap", False),
        data_folder=pathlib.Path(folder) if folder else None,
        caller_address=listen.text("front", ""),
        ready_address=listen.text("ready_address", ""),
        control_address=listen.text("control", ""),
        target_address=top.text("app", ""),
        target_service=top.text("service", ""),
        announce_every_s=top.number("heartbeat_ms") / 1000,
        link_mbps=limits.number("link_mbps"),
        max_files=int(limits.number("max_fds")),
        bounds=_bounds(top.table("bounds")),
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
    )
