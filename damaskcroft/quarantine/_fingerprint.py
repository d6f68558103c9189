"""Fingerprints that identify equal requests at all entries."""

import hashlib

__all__ = ["fingerprint"]

_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def fingerprint(
    customer: str, host: str, method: bytes, target: bytes, body: bytes
) -> bytes:
    """A digest (BLAKE2b, RFC 7693) of what a request asks of its target.

    It includes the customer, so that no customer's requests can be refused for
    what another customer has sent. It excludes the request id, because each
    copy has its own.

    Args:
        customer: the customer that sends the request; empty on public routes.
        host: host as sent by the caller.
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
