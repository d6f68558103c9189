"""Reading chunks from outside: the origin and the weight store, over HTTP.

Byte ranges as in RFC 9110, section 14; refusals as in its section 15 and RFC
6585, section 4, with their Retry-After honoured.
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
_THROTTLED = (429, 503)
_DEFAULT_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 60.0
_MAX_PATIENCE_S = 60.0
_CONNECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class OutsideData:
    """Bytes as they came; not checked yet."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OutsideFailed:
    """No usable bytes.

    Attributes:
        reason: throttled, status, short, unreachable or stalled.
        retry_after_s: how long to leave the source alone.
    """

    reason: str
    retry_after_s: float


class OutsideSource(abc.ABC):
    """One outside source, named for counters.

    After a refusal the source is left alone for as long as it asked, by all
    fetches of this process, so that refusals can't grow into a storm.

    Args:
        name: "origin" or "store".
        address: IP number and port.
        stall_s: longest wait for one chunk.
    """

    def __init__(self, name: str, address: str, stall_s: float):
        """Creates a client; nothing is connected yet."""
        self.name = name
        self._base_url = f"http://{address}"
        self._stall_s = stall_s
        self._patience_s = stall_s
        self._closed_until = 0.0
        self._client = make_http_client(
            connections=_CONNECTIONS,
            connect_timeout_s=stall_s,
            read_timeout_s=_MAX_PATIENCE_S,
            # All agents share the connections that a source takes, which may
            # be fewer than agents. A new one costs a round trip, far less than
            # a chunk takes.
            keeps_open=False,
        )

    @property
    def closed_for_s(self) -> float:
        """How much longer the source is to be left alone, in seconds."""
        return max(0.0, self._closed_until - now_s())

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
            path: below the source's address.
            headers: of the request.
            expected: the only status that brings usable bytes.
        """
        if self.closed_for_s > 0:
            return OutsideFailed("throttled", self.closed_for_s)
        url = f"{self._base_url}/{path}"
        try:
            async with self._client.stream(
                "GET", url, headers=headers
            ) as response:
                if response.status_code in _THROTTLED:
                    return self._throttled(response.headers)
                if response.status_code != expected:
                    return self.failed("status", _DEFAULT_RETRY_AFTER_S)
                return OutsideData(await self._read(response))
        except (TimeoutError, exceptions.ReadTimeout):
            # Perhaps only busy: asking again as impatiently would waste what
            # was sent, again and again.
            self._patience_s = min(self._patience_s * 2, _MAX_PATIENCE_S)
            return self.failed("stalled", 0.0)
        except HTTP_ERRORS:
            return self.failed("unreachable", 0.0)

    async def _read(self, response: aiosonic.HttpResponse) -> bytes:
        """Reads the body; a source that gives nothing for long is stalled."""
        pieces: list[bytes] = []
        chunks = response.read_chunks()
        while True:
            try:
                async with asyncio.timeout(self._patience_s):
                    pieces.append(await anext(chunks))
            except StopAsyncIteration:
                self._patience_s = self._stall_s
                return b"".join(pieces)

    def _throttled(self, headers) -> OutsideFailed:
        wait_s = retry_after_s(
            headers.get("Retry-After", ""), headers.get("Date", "")
        )
        if wait_s is None:
            wait_s = _DEFAULT_RETRY_AFTER_S
        wait_s = min(wait_s, _MAX_RETRY_AFTER_S)
        self._closed_until = now_s() + wait_s
        return self.failed("throttled", wait_s)

    def failed(self, reason: str, retry_after_s: float) -> OutsideFailed:
        """What to say of bytes that can't be used."""
        return OutsideFailed(reason, retry_after_s)


class RangeSource(OutsideSource):
    """A source that keeps a version's files and its manifest beside them."""

    async def fetch_manifest(self, path: str) -> OutsideData | OutsideFailed:
        """See OutsideSource."""
        return await self.get(f"{path}/{MANIFEST_NAME}", {})

    async def fetch_chunk(
        self, path: str, manifest: records_pb2.Manifest, index: int
    ) -> OutsideData | OutsideFailed:
        """See OutsideSource; reads a byte range."""
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
