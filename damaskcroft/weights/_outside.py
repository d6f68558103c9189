"""Reads chunks from outside: from the origin and the weight store, by HTTP.

Byte ranges follow RFC 9110, section 14; refusals follow its section 15 and RFC
6585, section 4, and their Retry-After is honoured.
"""

import abc
import asyncio
import dataclasses

import aiosonic
from aiosonic import exceptions

from damaskcroft._generated import records_pb2
from damaskcroft.clock import now_s
from damaskcroft.http1 import retry_after_s
from damaskcroft.rpc import HTTP_ERRORS, make_http_client
from damaskcroft.weights._manifest import MANIFEST_NAME

_OK, _PARTIAL = 200, 206
_THROTTLING_STATUSES = (429, 503)
_DEFAULT_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 60.0
_MAX_READ_TIMEOUT_S = 60.0
_CONNECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class OutsideData:
    """Bytes as received, not yet verified."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OutsideFailed:
    """A read that returned no usable bytes.

    Attributes:
        reason: throttled, status, short, unreachable or stalled.
        retry_after_s: how long not to ask the source again.
    """

    reason: str
    retry_after_s: float


class OutsideSource(abc.ABC):
    """One outside source, with a name for counters.

    After a refusal no fetch of this process asks the source for as long as the
    refusal says, so that refusals can't cause a retry storm.

    Args:
        name: "origin" or "store".
        address: IP address and port.
        stall_s: longest time without data; doubled after each time-out, up to a
            maximum.
    """

    def __init__(self, name: str, address: str, stall_s: float):
        """Creates a client; no connection is opened yet."""
        self.name = name
        self._base_url = f"http://{address}"
        self._stall_s = stall_s
        self._read_timeout_s = stall_s
        self._backoff_until = 0.0
        self._client = make_http_client(
            connections=_CONNECTIONS,
            connect_timeout_s=stall_s,
            read_timeout_s=_MAX_READ_TIMEOUT_S,
            # All agents share the connections that a source accepts, which may
            # be fewer than there are agents. A new connection costs a round
            # trip, far less than the transfer of a chunk.
            keeps_open=False,
        )

    @property
    def backoff_left_s(self) -> float:
        """Time for which the source must not be asked, in seconds."""
        return max(0.0, self._backoff_until - now_s())

    @abc.abstractmethod
    async def fetch_manifest(self, path: str) -> OutsideData | OutsideFailed:
        """Reads the manifest of the version at `path`, as it is stored."""

    @abc.abstractmethod
    async def fetch_chunk(
        self, path: str, manifest: records_pb2.Manifest, index: int
    ) -> OutsideData | OutsideFailed:
        """Reads one chunk of the version at `path`."""

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def get(
        self, path: str, headers: dict[str, str], expected: int = _OK
    ) -> OutsideData | OutsideFailed:
        """Reads one resource.

        Args:
            path: path below the source's address.
            headers: headers of the request.
            expected: the only status whose body is usable.
        """
        if self.backoff_left_s > 0:
            return OutsideFailed("throttled", self.backoff_left_s)
        url = f"{self._base_url}/{path}"
        try:
            async with self._client.stream(
                "GET", url, headers=headers
            ) as response:
                if response.status_code in _THROTTLING_STATUSES:
                    return self._throttled(response.headers)
                if response.status_code != expected:
                    return self.failed("status", _DEFAULT_RETRY_AFTER_S)
                return OutsideData(await self._read(response))
        except (TimeoutError, exceptions.ReadTimeout):
            # The source may only be busy: an equally short time-out would
            # discard what was sent again and again.
            self._read_timeout_s = min(
                self._read_timeout_s * 2, _MAX_READ_TIMEOUT_S
            )
            return self.failed("stalled", 0.0)
        except HTTP_ERRORS:
            return self.failed("unreachable", 0.0)

    async def _read(self, response: aiosonic.HttpResponse) -> bytes:
        """Reads the body; a source that sends nothing for long has stalled."""
        pieces: list[bytes] = []
        chunks = response.read_chunks()
        while True:
            try:
                async with asyncio.timeout(self._read_timeout_s):
                    pieces.append(await anext(chunks))
            except StopAsyncIteration:
                self._read_timeout_s = self._stall_s
                return b"".join(pieces)

    def _throttled(self, headers) -> OutsideFailed:
        wait_s = retry_after_s(
            headers.get("Retry-After", ""), headers.get("Date", "")
        )
        if wait_s is None:
            wait_s = _DEFAULT_RETRY_AFTER_S
        wait_s = min(wait_s, _MAX_RETRY_AFTER_S)
        self._backoff_until = now_s() + wait_s
        return self.failed("throttled", wait_s)

    def failed(self, reason: str, retry_after_s: float) -> OutsideFailed:
        """Returns the outcome of a read whose bytes can't be used."""
        return OutsideFailed(reason, retry_after_s)


class RangeSource(OutsideSource):
    """A source that stores a version's files and its manifest beside them."""

    async def fetch_manifest(self, path: str) -> OutsideData | OutsideFailed:
        """Reads the manifest file in the version's folder."""
        return await self.get(f"{path}/{MANIFEST_NAME}", {})

    async def fetch_chunk(
        self, path: str, manifest: records_pb2.Manifest, index: int
    ) -> OutsideData | OutsideFailed:
        """Reads a byte range of the chunk's file."""
        chunk = manifest.chunks[index]
        last_byte = chunk.offset_bytes + chunk.size_bytes - 1
        headers = {"Range": f"bytes={chunk.offset_bytes}-{last_byte}"}
        file_path = f"{path}/{manifest.files[chunk.file].path}"
        outcome = await self.get(file_path, headers, _PARTIAL)
        if isinstance(outcome, OutsideFailed):
            return outcome
        if len(outcome.data) != chunk.size_bytes:
            return self.failed("short", 0.0)
        return outcome
