"""Shared gRPC and HTTP infrastructure: channels, servers, keys, exit."""

from damaskcroft._lazy_imports import lazy_imports
from damaskcroft.rpc._channels import (
    CALL_ERRORS,
    ChannelPool,
    called,
    split_address,
)
from damaskcroft.rpc._http import (
    CallerDisconnected,
    run_unless_disconnected,
    serve_http,
)
from damaskcroft.rpc._keys import Keys, KeysError, load_keys
from damaskcroft.rpc._process import (
    force_exit,
    logging_start_failure,
    stop_event,
)
from damaskcroft.rpc._server import serve_grpc

__all__ = [
    "CALL_ERRORS",
    "HTTP_ERRORS",
    "CallerDisconnected",
    "ChannelPool",
    "Keys",
    "KeysError",
    "called",
    "force_exit",
    "load_keys",
    "logging_start_failure",
    "make_http_client",
    "run_daemon",
    "run_unless_disconnected",
    "serve_grpc",
    "serve_http",
    "split_address",
    "stop_event",
]

__getattr__ = lazy_imports(
    __name__,
    {
        "HTTP_ERRORS": "_http_client",
        "make_http_client": "_http_client",
        "run_daemon": "_daemon",
    },
)
