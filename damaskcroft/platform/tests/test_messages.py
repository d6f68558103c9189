"""Decoding of HTTP bodies of operators, valid and malformed."""

import copy
import json

import pytest

from damaskcroft.platform.messages import (
    BadMessageError,
    decode_configuration,
    decode_desired_version,
)

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r", "host": "H.example", "path_prefix": "/a/",
            "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 405,
            "target_gap_ms": 300, "priority": 1, "max_attempts": 2,
            "public": False, "sticky": True, "resumable": True,
            "split": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
        },
        {
            "name": "u", "host": "h", "path_prefix": "/", "kind": "unsafe",
            "timeout_ms": 10, "service": "t",
        },
        {
            "name": "v", "host": "h", "path_prefix": "/v/", "kind": "safe",
            "timeout_ms": 10, "service": "t",
        },
        {
            "name": "w", "host": "h", "path_prefix": "/w/",
            "kind": "a kind of next year", "timeout_ms": 10, "service": "t",
        },
    ],
    "services": [
        {"name": "s", "engine": {"slots": 16, "layers": 4, "models": []}},
        {"name": "t", "origin": "1.2.3.4:5", "link_mbps": 7.3},
    ],
    "tenants": [{"name": "c", "api_keys": ["k"], "priority": 1}],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
}  # fmt: skip


def encoded(values):
    return json.dumps(values).encode()


def test_configuration_is_decoded_and_keeps_its_source_text():
    body = encoded(CONFIGURATION)
    decoded = decode_configuration(body)
    assert decoded.version == 7
    assert decoded.source == body
    stream, unsafe, safe, unknown = decoded.routes
    assert stream.host == "h.example"
    assert stream.streaming and stream.resumable and not stream.idempotent
    assert [share.weight for share in stream.shares] == [90, 10]
    assert not (unsafe.idempotent or unsafe.streaming)
    assert safe.idempotent
    assert not (unknown.idempotent or unknown.resumable)
    assert decoded.services[0].engine.layers == 4
    assert not decoded.services[1].HasField("engine")
    assert decoded.keys_required
    assert decoded.customers[0].priority == 1


def with_fields(**fields):
    """Returns a valid configuration with fields of its parts replaced."""
    values = copy.deepcopy(CONFIGURATION)
    values["routes"][0] |= fields.get("route", {})
    values["services"][0] |= fields.get("service", {})
    values["tenants"][0] |= fields.get("customer", {})
    return values


def test_regions_and_cold_rates_are_decoded():
    decoded = decode_configuration(
        encoded(
            with_fields(
                route={"allowed_regions": ["r1", "r2"]},
                customer={"allowed_regions": ["r2"]},
                service={"cold_per_s": 36.0, "cold_start_s": 3},
            )
        )
    )
    assert list(decoded.routes[0].allowed_regions) == ["r1", "r2"]
    assert list(decoded.customers[0].allowed_regions) == ["r2"]
    assert decoded.services[0].cold_requests_s == 36.0
    assert decoded.services[0].cold_start_s == 3.0
    assert not decoded.routes[1].allowed_regions
    assert not decoded.services[1].cold_requests_s


@pytest.mark.parametrize("absent", [None, []])
def test_no_regions_are_no_restriction(absent):
    values = with_fields(
        route={"allowed_regions": absent}, customer={"allowed_regions": absent}
    )
    decoded = decode_configuration(encoded(values))
    assert not decoded.routes[0].allowed_regions
    assert not decoded.customers[0].allowed_regions


@pytest.mark.parametrize(
    "fields",
    [
        {"route": {"allowed_regions": "r1"}},
        {"route": {"allowed_regions": {"r1": True}}},
        {"route": {"allowed_regions": [1]}},
        {"customer": {"allowed_regions": 7}},
        {"service": {"cold_per_s": "many"}},
        {"service": {"cold_per_s": -1}},
        {"service": {"cold_start_s": [3]}},
        {"service": {"cold_start_s": True}},
        {"service": {"cold_start_s": float("inf")}},
        {"service": {"cold_per_s": 10**400}},
    ],
)
def test_regions_and_cold_rates_of_another_type_are_rejected(fields):
    with pytest.raises(BadMessageError):
        decode_configuration(encoded(with_fields(**fields)))


@pytest.mark.parametrize("size", range(1, 40, 3))
def test_truncated_configuration_is_rejected(size):
    body = encoded(CONFIGURATION)
    with pytest.raises(BadMessageError):
        decode_configuration(body[: len(body) * size // 40])


@pytest.mark.parametrize(
    "wrong",
    [
        [],
        5,
        {"version": "seven", "routes": [], "services": []},
        {"version": -1, "routes": [], "services": []},
        {"routes": [], "services": []},
        {"version": 1, "routes": [{"host": "h"}], "services": []},
        {"version": 1, "routes": 5, "services": []},
        {"version": 1, "routes": ["r"], "services": []},
    ],
)
def test_malformed_configuration_is_rejected(wrong):
    with pytest.raises(BadMessageError):
        decode_configuration(encoded(wrong))


@pytest.mark.parametrize("body", [b"", b"{}", b'{"model": "m"}', b"[]"])
def test_desired_version_without_its_fields_is_rejected(body):
    with pytest.raises(BadMessageError):
        decode_desired_version(body)
