"""Fingerprints of requests, and keys of the parts that requests share."""

import functools
import hashlib
import urllib.parse
from collections.abc import Iterable

__all__ = ["fingerprint", "parse_suspect", "part_key", "part_names"]

_DIGEST_BYTES = 16
_LENGTH_BYTES = 8
# Longer ids of parts are replaced by a digest.
_MAX_PART_ID_CHARS = 64
_CACHED_KEYS = 4096


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


@functools.lru_cache(maxsize=_CACHED_KEYS)
def part_key(service: str, model: str, part_id: str) -> bytes:
    """A readable key of a part of prompts, equal at all entries.

    Args:
        service: service that runs the request; what crashes the targets of one
            service may be harmless to those of another one.
        model: requested model; empty for services without models.
        part_id: id of the part.
    """
    if len(part_id) > _MAX_PART_ID_CHARS:
        digest = hashlib.blake2b(part_id.encode(), digest_size=_DIGEST_BYTES)
        part_id = digest.hexdigest()
    # Quoting makes the separator unambiguous.
    names = (urllib.parse.quote(n, safe="") for n in (service, model, part_id))
    return "/".join(names).encode()


def part_names(keys: Iterable[bytes]) -> str:
    """Keys of parts as text, for logs and operators."""
    return ",".join(sorted(key.decode(errors="replace") for key in keys))


def parse_suspect(text: str) -> bytes:
    """The fingerprint or key of a part that operators see as `text`.

    Raises:
        ValueError: it is neither.
    """
    if "/" in text:
        return text.encode()
    return bytes.fromhex(text)
