"""Framing of records on disk: length, CRC-32, payload.

The checksum is zlib's CRC-32 (ISO 3309), over the payload.
"""

import struct
import zlib
from collections.abc import Iterator

_HEADER = struct.Struct("<II")
HEADER_BYTES = _HEADER.size
MAX_PAYLOAD_BYTES = 256 * 1024 * 1024


def encode_frame(payload: bytes) -> bytes:
    """Returns the payload preceded by its header."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def decode_frame(content: bytes, offset_bytes: int) -> bytes | None:
    """Returns the payload of a valid frame at an offset, or None."""
    start = offset_bytes + HEADER_BYTES
    if start > len(content):
        return None
    size, checksum = _HEADER.unpack_from(content, offset_bytes)
    if not 0 < size <= MAX_PAYLOAD_BYTES or start + size > len(content):
        return None
    payload = content[start : start + size]
    if zlib.crc32(payload) != checksum:
        return None
    return payload


def find_frames_after(content: bytes, offset_bytes: int) -> Iterator[bytes]:
    """Yields the payload of every valid frame that starts after an offset.

    Tries each offset, which is slow; used only on files known to be damaged.
    """
    for offset in range(offset_bytes + 1, len(content) - HEADER_BYTES):
        payload = decode_frame(content, offset)
        if payload is not None:
            yield payload
