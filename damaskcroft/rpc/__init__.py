"""Shared gRPC and HTTP infrastructure: channels, servers, keys, exit."""

from damaskcroft._later import imported_later
from damaskcroft.rpc._channels import (
    CALL_ERRORS,
    ChannelPool,
    called,
    split_address,
)
from damaskcroft.rpc._http import CallerLeft, http_served, unless_caller_leaves
from damaskcroft.rpc._keys import Keys, KeysError, load_keys
from damaskcroft.rpc._process import (
    end_now,
    start_failure_logged,
    stop_event,
)
from damaskcroft.rpc._server import grpc_served

__all__ = [
    "CALL_ERRORS",
    "HTTP_ERRORS",
    "CallerLeft",
    "ChannelPool",
    "Keys",
    "KeysError",
    "called",
    "end_now",
    "grpc_served",
    "http_served",
    "load_keys",
    "make_http_client",
    "run_daemon",
    "split_address",
    "start_failure_logged",
    "stop_event",
    "unless_caller_leaves",
]

__getattr__ = imported_later(
    __name__,
    {
        "HTTP_ERRORS": "_http_client",
        "make_http_client": "_http_client",
        "run_daemon": "_daemon",
    },
)
