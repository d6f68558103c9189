"""gRPC plumbing that every process shares: channels, servers, keys."""

from damaskcroft.rpc._channels import CALL_ERRORS, ChannelPool, split_address
from damaskcroft.rpc._http import http_served
from damaskcroft.rpc._keys import Keys, KeysError, load_keys
from damaskcroft.rpc._server import grpc_served

__all__ = [
    "CALL_ERRORS",
    "ChannelPool",
    "Keys",
    "KeysError",
    "grpc_served",
    "http_served",
    "load_keys",
    "split_address",
]
