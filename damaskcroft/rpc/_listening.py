"""Sockets that servers listen on."""

import socket

from damaskcroft.rpc._channels import split_address

__all__ = ["BACKLOG", "bound_socket"]

# Length of the kernel's queue of connections to be accepted.
BACKLOG = 2048


def bound_socket(address: str) -> socket.socket:
    """Creates a socket that is bound to the address.

    Raises:
        OSError: the address is in use or not of this machine; the message
            contains the address.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise OSError(error.errno, f"cannot bind {address}: {error}") from error
    return bound
