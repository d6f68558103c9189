"""Turns an INI file into the settings message that the schema declares.

The schema (proto/.../settings.proto) holds each key's meaning, unit, bounds
and default; this module only applies it, and finds every fault at once.
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

_BOOLEANS_BY_WORD = {"yes": True, "true": True, "no": False, "false": False}
_MAX_PORT = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong with a settings file.

    Attributes:
        section: the INI section at fault, empty for the file itself.
        key: the key at fault, empty for the section itself.
        reason: what is wrong, for a person.
    """

    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """The fault on one line, with section and key."""
        if not self.section:
            return self.reason
        if not self.key:
            return f"[{self.section}]: {self.reason}"
        return f"[{self.section}] {self.key}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFaults:
    """Everything wrong with a settings file; nothing may be started."""

    faults: tuple[Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _BadValueError(Exception):
    """A single value that the schema does not admit."""

    reason: str


def load_settings(
    path: pathlib.Path, kind: type[_SettingsT]
) -> _SettingsT | SettingsFaults:
    """Reads and checks the INI file at `path`.

    Args:
        path: the settings file.
        kind: the settings message of the program.

    Returns:
        The filled message, or all the faults found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return SettingsFaults((Fault("", "", f"{path}: {error}"),))
    settings = kind()
    faults = list(_unknown_names(parser, kind.DESCRIPTOR))
    for section in _fields(kind.DESCRIPTOR):
        values = {}
        if parser.has_section(section.name):
            values = dict(parser.items(section.name))
        target = getattr(settings, section.name)
        target.SetInParent()
        faults += _fill(target, section.name, values)
    if faults:
        return SettingsFaults(tuple(faults))
    return settings


def settings_reference(kind: type[Message]) -> str:
    """A commented INI file with every key of `kind`, for operators."""
    lines = []
    for section in _fields(kind.DESCRIPTOR):
        lines.append(f"[{section.name}]")
        for field in section.message_type.fields:
            lines += _reference_lines(field)
        lines.append("")
    return "\n".join(lines)


def _reference_lines(field: Any) -> list[str]:
    rule = _rule(field)
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
    # The stubs of the two protobuf back ends disagree on these types.
    return descriptor.fields


def _rule(field: Any) -> Any:
    extension: Any = settings_pb2.rule
    return field.GetOptions().Extensions[extension]


def _unknown_names(
    parser: configparser.ConfigParser, descriptor: Any
) -> Iterator[Fault]:
    sections_by_name = descriptor.fields_by_name
    for section in parser.sections():
        if section not in sections_by_name:
            near = _near(section, list(sections_by_name))
            yield Fault(section, "", f"unknown section{near}")
            continue
        keys_by_name = sections_by_name[section].message_type.fields_by_name
        for key in parser.options(section):
            if key not in keys_by_name:
                near = _near(key, list(keys_by_name))
                yield Fault(section, key, f"unknown key{near}")


def _near(name: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(name, known, n=1)
    return f" (did you mean {matches[0]}?)" if matches else ""


def _fill(
    target: Message, section: str, values: dict[str, str]
) -> Iterator[Fault]:
    for field in target.DESCRIPTOR.fields:
        rule = _rule(field)
        text = values.get(field.name, rule.default).strip()
        if not text:
            if rule.required:
                yield Fault(section, field.name, f"missing: {rule.meaning}")
            continue
        try:
            _set(target, field, rule, text)
        except _BadValueError as bad:
            yield Fault(section, field.name, bad.reason)


def _set(target: Message, field: Any, rule: Any, text: str) -> None:
    if field.is_repeated:
        parts = [part.strip() for part in text.split(",") if part.strip()]
        values = [_parse(field, rule, part) for part in parts]
        getattr(target, field.name).extend(values)
        return
    setattr(target, field.name, _parse(field, rule, text))


def _parse(field: Any, rule: Any, text: str) -> Any:
    if rule.address:
        return _parse_address(text)
    if field.type == FieldDescriptor.TYPE_BOOL:
        if text.lower() not in _BOOLEANS_BY_WORD:
            raise _BadValueError(f"{text!r} is neither yes nor no")
        return _BOOLEANS_BY_WORD[text.lower()]
    if field.type == FieldDescriptor.TYPE_STRING:
        return text
    return _parse_number(field, rule, text)


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise _BadValueError(f"{text!r} is not an IP number and port") from None
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise _BadValueError(f"{text!r} has no valid port")
    return text


def _parse_number(field: Any, rule: Any, text: str) -> Any:
    convert = float if field.type == FieldDescriptor.TYPE_DOUBLE else int
    try:
        number = convert(text)
    except ValueError:
        unit = f" in {rule.unit}" if rule.unit else ""
        raise _BadValueError(f"{text!r} is not a plain number{unit}") from None
    if rule.HasField("min") and number < rule.min:
        raise _BadValueError(
            f"{text} is below {rule.min:g} {rule.unit}".rstrip()
        )
    if rule.HasField("max") and number > rule.max:
        raise _BadValueError(
            f"{text} is above {rule.max:g} {rule.unit}".rstrip()
        )
    return number
