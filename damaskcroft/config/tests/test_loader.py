"""Loading and validation of settings files."""

import pathlib

import pytest

from damaskcroft._generated import settings_pb2
from damaskcroft.config import (
    SettingsFaults,
    load_settings,
    settings_or_exit,
    settings_reference,
)

VALID = """
[process]
name = entry-1
region = kochi
failure_domain = kochi
listen = 127.0.0.1:7001
http_listen = 127.0.0.1:7002
[keys]
open = yes
[control]
addresses = 127.0.0.1:7101, 127.0.0.1:7102
"""


@pytest.fixture
def write(tmp_path):
    def write_file(text: str) -> pathlib.Path:
        path = tmp_path / "settings.ini"
        path.write_text(text, encoding="utf-8")
        return path

    return write_file


def test_valid_file_gets_defaults(write):
    settings = load_settings(write(VALID), settings_pb2.EntrySettings)
    assert isinstance(settings, settings_pb2.EntrySettings)
    assert list(settings.control.addresses) == [
        "127.0.0.1:7101",
        "127.0.0.1:7102",
    ]
    assert settings.admission.default_deadline_s == 30
    assert settings.keys.open


def test_all_faults_are_reported_together(write):
    text = VALID.replace("127.0.0.1:7001", "localhost:7001")
    text = text.replace("name = entry-1", "nam = entry-1")
    text += "[admission]\nreserved_share = 2\ndefault_deadline_s = 3s\n"
    text += "[wings]\n"
    result = load_settings(write(text), settings_pb2.EntrySettings)
    assert isinstance(result, SettingsFaults)
    locations = {(fault.section, fault.key) for fault in result.faults}
    assert locations == {
        ("process", "listen"),
        ("process", "name"),
        ("process", "nam"),
        ("admission", "reserved_share"),
        ("admission", "default_deadline_s"),
        ("wings", ""),
    }


def test_invalid_settings_exit_with_status_2(write, capsys):
    path = write("[process]\n")
    with pytest.raises(SystemExit) as exit_info:
        settings_or_exit(
            path, settings_pb2.EntrySettings, check=False, reference=False
        )
    assert exit_info.value.code == 2
    assert "[process] name: missing" in capsys.readouterr().err


@pytest.mark.parametrize(
    "kind",
    [
        settings_pb2.ControlSettings,
        settings_pb2.EntrySettings,
        settings_pb2.AgentSettings,
        settings_pb2.OperatorSettings,
    ],
)
def test_reference_lists_every_key(kind):
    text = settings_reference(kind)
    for section in kind.DESCRIPTOR.fields:
        assert f"[{section.name}]" in text
        for field in section.message_type.fields:
            assert f"{field.name} = " in text
