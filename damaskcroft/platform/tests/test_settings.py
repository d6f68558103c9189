"""Decoding of the platform's settings file, valid and invalid."""

import copy

import pytest

from damaskcroft.platform.settings import (
    SettingsFileError,
    decode_settings,
    load_node_settings,
)

VALUES = {
    "node_name": "n",
    "ip": "10.0.0.1",
    "zone": "z1",
    "zones": {"z1": "r1", "z2": "r2"},
    "internal_ports": [7700, 7715],
    "seeds": ["10.0.0.2:8000"],
    "heartbeat_ms": 1200,
    "listen": {"front": "10.0.0.1:80", "ready_address": "10.0.0.1:81"},
    "limits": {"link_mbps": 10.0, "max_fds": 100},
    "bounds": {"grace_s": 8, "version_ms": 8000},
    "a_field_of_next_year": {"x": 1},
}


def test_settings_are_converted_to_seconds():
    settings = decode_settings(VALUES)
    assert settings.region == "r1"
    assert settings.rpc_address == "10.0.0.1:7700"
    assert settings.rpc_address_at("10.0.0.2:8000") == "10.0.0.2:7700"
    assert settings.bounds.weights_s == 8.0
    assert settings.announce_every_s == 1.2
    assert settings.data_folder is None
    assert not settings.first_start


def test_bounds_of_cold_targets_are_optional():
    without = decode_settings(VALUES).bounds
    assert (without.cold_ratio, without.cold_extra) == (1.0, 0.0)
    values = copy.deepcopy(VALUES)
    values["bounds"] |= {
        "cold_overage": 1.5,
        "cold_slack": 5,
    }
    bounds = decode_settings(values).bounds
    assert (bounds.cold_ratio, bounds.cold_extra) == (1.5, 5.0)


@pytest.mark.parametrize(
    ("field", "value", "stated"),
    [
        ("node_name", None, "node_name"),
        ("ip", 5, "ip"),
        ("internal_ports", [7700], "internal_ports"),
        ("heartbeat_ms", "often", "heartbeat_ms"),
        ("seeds", "10.0.0.2:8000", "seeds"),
        ("limits", {"max_fds": 1}, "link_mbps"),
        ("bounds", {}, "grace_s"),
        ("listen", 5, "listen"),
    ],
)
def test_invalid_field_is_stated_in_one_line(field, value, stated):
    values = copy.deepcopy(VALUES)
    if value is None:
        del values[field]
    else:
        values[field] = value
    with pytest.raises(SettingsFileError) as caught:
        decode_settings(values)
    assert stated in str(caught.value)
    assert "\n" not in str(caught.value)


def test_missing_file_is_stated(monkeypatch, tmp_path):
    monkeypatch.delenv("DAMASKCROFT_NODE_FILE", raising=False)
    with pytest.raises(SettingsFileError):
        load_node_settings()
    monkeypatch.setenv("DAMASKCROFT_NODE_FILE", str(tmp_path / "none.toml"))
    with pytest.raises(SettingsFileError, match=r"none\.toml"):
        load_node_settings()
