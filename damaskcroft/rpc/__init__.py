"""gRPC plumbing that every process shares: channels, servers, keys."""

from damaskcroft.rpc._channels import (
    CALL_ERRORS,
    ChannelPool,
    called,
    split_address,
)
from damaskcroft.rpc._daemon import (
    run_daemon,
    start_failure_logged,
    stop_event,
)
from damaskcroft.rpc._http import CallerLeft, http_served, unless_caller_leaves
from damaskcroft.rpc._http_client import HTTP_ERRORS, make_http_client
from damaskcroft.rpc._keys import Keys, KeysError, load_keys
from damaskcroft.rpc._server import grpc_served

__all__ = [
    "CALL_ERRORS",
    "CallerLeft",
    "ChannelPool",
    "HTTP_ERRORS",
    "Keys",
    "KeysError",
    "called",
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
