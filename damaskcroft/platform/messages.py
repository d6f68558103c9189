"""Decoders for HTTP bodies of operators: configurations and weights."""

import json
import math
from typing import Any

from damaskcroft._generated import fleet_pb2

__all__ = [
    "BadMessageError",
    "decode_configuration",
    "decode_desired_version",
]

_STREAMING = "streaming"
# Kinds whose requests may run more than once.
_IDEMPOTENT_KINDS = frozenset({"safe"})


class BadMessageError(Exception):
    """A body cannot be decoded or lacks a required field."""


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        values = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadMessageError(f"not readable as JSON: {error}") from error
    if not isinstance(values, dict):
        raise BadMessageError("not a JSON object")
    return values


def decode_configuration(body: bytes) -> fleet_pb2.Configuration:
    """Decodes a configuration and keeps its source text.

    Raises:
        BadMessageError: the body cannot be decoded in full.
    """
    values = _parse_object(body)
    try:
        configuration = fleet_pb2.Configuration(
            version=values["version"],
            routes=[_route(route) for route in values["routes"]],
            services=[_service(service) for service in values["services"]],
            customers=[_customer(item) for item in values.get("tenants") or ()],
            limits=_limits(values.get("limits") or {}),
            keys_required="tenants" in values,
            source=body,
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        raise BadMessageError(f"configuration: {error!r}") from error
    return configuration


def _route(values: dict[str, Any]) -> fleet_pb2.Route:
    streaming = values["kind"] == _STREAMING
    return fleet_pb2.Route(
        name=values.get("name", ""),
        host=values["host"].lower(),
        path_prefix=values["path_prefix"],
        idempotent=values["kind"] in _IDEMPOTENT_KINDS,
        streaming=streaming,
        resumable=streaming and bool(values.get("resumable")),
        timeout_ms=values["timeout_ms"],
        latency_goal_ms=values.get("target_latency_ms", 0),
        gap_goal_ms=values.get("target_gap_ms", 0),
        priority=values.get("priority", 0),
        shares=_shares(values),
        max_attempts=values.get("max_attempts", 1),
        public=values.get("public", False),
        # The wire's `sticky` asks for session affinity; it is set exactly on
        # the routes whose requests carry a model's name.
        generative=values.get("sticky", False),
        allowed_regions=_names(values, "allowed_regions"),
    )


def _names(values: dict[str, Any], field: str) -> list[str]:
    """Reads a list of names; a text would be taken for a list of letters."""
    names = values.get(field) or []
    if not isinstance(names, list):
        raise TypeError(f"{field}: not a list")
    return names


def _non_negative(values: dict[str, Any], field: str) -> float:
    number = values.get(field) or 0.0
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise TypeError(f"{field}: not a number")
    if not 0 <= number < math.inf:
        raise ValueError(f"{field}: out of range")
    return float(number)


def _shares(values: dict[str, Any]) -> list[fleet_pb2.Share]:
    if "split" not in values:
        return [fleet_pb2.Share(service=values["service"], weight=1)]
    return [
        fleet_pb2.Share(service=part["service"], weight=part["weight"])
        for part in values["split"]
    ]


def _service(values: dict[str, Any]) -> fleet_pb2.Service:
    service = fleet_pb2.Service(
        name=values["name"],
        health_path=values.get("health_path", ""),
        max_connections=values.get("max_connections", 0),
        origin=values.get("origin", ""),
        origin_link_mbps=values.get("link_mbps", 0),
        cold_requests_s=_non_negative(values, "cold_per_s"),
        cold_start_s=_non_negative(values, "cold_start_s"),
    )
    if "engine" in values:
        service.engine.CopyFrom(_engine(values["engine"]))
    return service


def _engine(values: dict[str, Any]) -> fleet_pb2.EngineProfile:
    usual = values.get("usual") or {}
    return fleet_pb2.EngineProfile(
        slots=values.get("slots", 0),
        kv_capacity_tokens=values.get("kv_capacity_tokens", 0),
        steps_per_event=values.get("stride", 1),
        models=[_engine_model(model) for model in values.get("models", ())],
        step_ms=values.get("step_ms", 0),
        step_ms_per_sequence=values.get("per_seq_ms", 0),
        step_ms_per_k_context=values.get("context_per_k", 0),
        prefill_tokens_per_s=values.get("read_per_s", 0),
        attention_ms_per_m_pairs=values.get("pairs_per_m", 0),
        prefill_chunk_tokens=values.get("chunk", 0),
        report_lag_ms=values.get("report_lag_ms", 0),
        layers=values.get("layers", 0),
        layer_mb=values.get("layer_mb", 0),
        memory_mb=values.get("mb", 0),
        pieces=values.get("chunks", 0),
        piece_bytes=values.get("chunk_bytes", 0),
        usual_prompt_tokens=usual.get("prompt", 0),
        usual_answer_tokens=usual.get("answer", 0),
    )


def _engine_model(values: dict[str, Any]) -> fleet_pb2.EngineModel:
    return fleet_pb2.EngineModel(
        name=values["name"],
        pace=values.get("pace", 1),
        load_s=values.get("load_s", 0),
        warmup_s=values.get("warmup_s", 0),
    )


def _customer(values: dict[str, Any]) -> fleet_pb2.Customer:
    return fleet_pb2.Customer(
        name=values["name"],
        keys=values.get("api_keys", ()),
        priority=values.get("priority"),
        allowed_regions=_names(values, "allowed_regions"),
    )


def _limits(values: dict[str, Any]) -> fleet_pb2.CallerLimits:
    return fleet_pb2.CallerLimits(
        max_header_bytes=values.get("max_header_bytes", 0),
        max_body_bytes=values.get("max_body_bytes", 0),
        header_timeout_ms=values.get("header_timeout_ms", 0),
        idle_timeout_ms=values.get("idle_timeout_ms", 0),
    )


def decode_desired_version(body: bytes) -> fleet_pb2.WeightGoal:
    """Decodes the desired version of a model's weights.

    Raises:
        BadMessageError: the body cannot be decoded.
    """
    values = _parse_object(body)
    try:
        return fleet_pb2.WeightGoal(
            model=values["model"], version=values["version"]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BadMessageError(f"weights: {error!r}") from error
