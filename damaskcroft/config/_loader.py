"""Loads an INI file into the settings message that the schema declares.

The schema (proto/.../settings.proto) states the meaning, unit, bounds and
default of each key. This module applies it and reports all faults of a file
together.
"""

import configparser
import dataclasses
import difflib
import ipaddress
import pathlib
from collections.abc import Iterator
from typing import Any, TypeVar

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from damaskcroft._generated import settings_pb2

_SettingsT = TypeVar("_SettingsT", bound=Message)

_BOOLEANS_BY_TEXT = {"yes": True, "true": True, "no": False, "false": False}
_MAX_PORT = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault in a settings file.

    Attributes:
        section: INI section with the fault; empty for the file itself.
        key: key with the fault; empty for the section itself.
        reason: description of the fault for operators.
    """

    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Returns the fault on one line, with section and key."""
        if not self.section:
            return self.reason
        if not self.key:
            return f"[{self.section}]: {self.reason}"
        return f"[{self.section}] {self.key}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFaults:
    """All faults of a settings file; the program must not start with it."""

    faults: tuple[SettingsFault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _InvalidValueError(Exception):
    """A single value that the schema does not allow."""

    reason: str


def load_settings(
    path: pathlib.Path, kind: type[_SettingsT]
) -> _SettingsT | SettingsFaults:
    """Loads and validates the INI file at `path`.

    Args:
        path: the settings file.
        kind: type of the program's settings message.

    Returns:
        The filled message, or all faults of the file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return SettingsFaults((SettingsFault("", "", f"{path}: {error}"),))
    settings = kind()
    faults = list(_find_unknown_names(parser, kind.DESCRIPTOR))
    for section in _fields(kind.DESCRIPTOR):
        values = {}
        if parser.has_section(section.name):
            values = dict(parser.items(section.name))
        message = getattr(settings, section.name)
        message.SetInParent()
        faults += _fill_section(message, section.name, values)
    if faults:
        return SettingsFaults(tuple(faults))
    return settings


def settings_reference(kind: type[Message]) -> str:
    """Returns a commented INI file with every key of `kind`, for operators."""
    lines = []
    for section in _fields(kind.DESCRIPTOR):
        lines.append(f"[{section.name}]")
        for field in section.message_type.fields:
            lines += _reference_lines(field)
        lines.append("")
    return "\n".join(lines)


def _reference_lines(field: Any) -> list[str]:
    rule = _field_rule(field)
    notes = [rule.meaning]
    if rule.unit:
        notes.append(f"unit: {rule.unit}")
    if rule.HasField("min"):
        notes.append(f"at least {rule.min:g}")
    if rule.HasField("max"):
        notes.append(f"at most {rule.max:g}")
    if rule.required:
        notes.append("required")
    return [f"# {'; '.join(notes)}", f"{field.name} = {rule.default}"]


def _fields(descriptor: Any) -> Any:
    # The type stubs of the two protobuf back ends differ here.
    return descriptor.fields


def _field_rule(field: Any) -> Any:
    extension: Any = settings_pb2.rule
    return field.GetOptions().Extensions[extension]


def _find_unknown_names(
    parser: configparser.ConfigParser, descriptor: Any
) -> Iterator[SettingsFault]:
    sections_by_name = descriptor.fields_by_name
    for section in parser.sections():
        if section not in sections_by_name:
            suggestion = _format_suggestion(section, list(sections_by_name))
            yield SettingsFault(section, "", f"unknown section{suggestion}")
            continue
        keys_by_name = sections_by_name[section].message_type.fields_by_name
        for key in parser.options(section):
            if key not in keys_by_name:
                suggestion = _format_suggestion(key, list(keys_by_name))
                yield SettingsFault(section, key, f"unknown key{suggestion}")


def _format_suggestion(name: str, candidates: list[str]) -> str:
    matches = difflib.get_close_matches(name, candidates, n=1)
    return f" (did you mean {matches[0]}?)" if matches else ""


def _fill_section(
    message: Message, section: str, values: dict[str, str]
) -> Iterator[SettingsFault]:
    for field in message.DESCRIPTOR.fields:
        rule = _field_rule(field)
        text = values.get(field.name, rule.default).strip()
        if not text:
            if rule.required:
                yield SettingsFault(
                    section, field.name, f"missing: {rule.meaning}"
                )
            continue
        try:
            _set_field(message, field, rule, text)
        except _InvalidValueError as error:
            yield SettingsFault(section, field.name, error.reason)


def _set_field(message: Message, field: Any, rule: Any, text: str) -> None:
    if field.is_repeated:
        parts = [part.strip() for part in text.split(",") if part.strip()]
        values = [_parse_value(field, rule, part) for part in parts]
        getattr(message, field.name).extend(values)
        return
    setattr(message, field.name, _parse_value(field, rule, text))


def _parse_value(field: Any, rule: Any, text: str) -> Any:
    if rule.address:
        return _parse_address(text)
    if field.type == FieldDescriptor.TYPE_BOOL:
        if text.lower() not in _BOOLEANS_BY_TEXT:
            raise _InvalidValueError(f"{text!r} is neither yes nor no")
        return _BOOLEANS_BY_TEXT[text.lower()]
    if field.type == FieldDescriptor.TYPE_STRING:
        return text
    return _parse_number(field, rule, text)


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise _InvalidValueError(
            f"{text!r} is not an IP number and port"
        ) from None
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise _InvalidValueError(f"{text!r} has no valid port")
    return text


def _parse_number(field: Any, rule: Any, text: str) -> Any:
    convert = float if field.type == FieldDescriptor.TYPE_DOUBLE else int
    try:
        number = convert(text)
    except ValueError:
        unit = f" in {rule.unit}" if rule.unit else ""
        raise _InvalidValueError(
            f"{text!r} is not a plain number{unit}"
        ) from None
    if rule.HasField("min") and number < rule.min:
        raise _InvalidValueError(
            f"{text} is below {rule.min:g} {rule.unit}".rstrip()
        )
    if rule.HasField("max") and number > rule.max:
        raise _InvalidValueError(
            f"{text} is above {rule.max:g} {rule.unit}".rstrip()
        )
    return number
