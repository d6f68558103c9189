"""What makes two requests the same, whichever entry they come to."""

import hashlib

__all__ = ["fingerprint"]

_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def fingerprint(
    customer: str, host: str, method: bytes, target: bytes, body: bytes
) -> bytes:
    """A digest (BLAKE2b, RFC 7693) of what a target is asked to do.

    The customer is part of it, so that nobody's requests can be refused for
    what another customer has sent. The request id is not, since a copy has
    one of its own.

    Args:
        customer: whose request it is; empty on public routes.
        host: as the caller named it.
        method: for example b"POST".
        target: path and query.
        body: the whole body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (customer.encode(), host.lower().encode(), method, target):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()
