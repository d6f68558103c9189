"""Shared gRPC and HTTP infrastructure: channels, servers, keys, exit."""

import typing

from damaskcroft._lazy_imports import lazy_imports
from damaskcroft.rpc._channels import (
    CALL_ERRORS,
    ChannelPool,
    called,
    split_address,
)
from damaskcroft.rpc._keys import Keys, KeysError, load_keys
from damaskcroft.rpc._metrics_server import serve_metrics
from damaskcroft.rpc._process import (
    force_exit,
    logging_start_failure,
    stop_event,
)
from damaskcroft.rpc._server import serve_grpc

if typing.TYPE_CHECKING:
    from damaskcroft.rpc._callers import Caller, HttpCaller
    from damaskcroft.rpc._http import (
        CallerDisconnected,
        run_unless_disconnected,
        serve_http,
    )

__all__ = [
    "CALL_ERRORS",
    "HTTP_ERRORS",
    "Caller",
    "CallerDisconnected",
    "ChannelPool",
    "HttpCaller",
    "Keys",
    "KeysError",
    "SendExpiredError",
    "called",
    "force_exit",
    "load_keys",
    "logging_start_failure",
    "make_http_client",
    "run_daemon",
    "run_unless_disconnected",
    "sending_before",
    "serve_grpc",
    "serve_http",
    "serve_metrics",
    "split_address",
    "stop_event",
]

__getattr__ = lazy_imports(
    __name__,
    {
        "Caller": "_callers",
        "CallerDisconnected": "_http",
        "HTTP_ERRORS": "_http_client",
        "HttpCaller": "_callers",
        "SendExpiredError": "_http_client",
        "make_http_client": "_http_client",
        "run_daemon": "_daemon",
        "run_unless_disconnected": "_http",
        "sending_before": "_http_client",
        "serve_http": "_http",
    },
)
