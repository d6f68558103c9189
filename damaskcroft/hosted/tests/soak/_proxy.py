"""A loopback proxy before one target, that delays, cuts, silences, resets."""

import asyncio
import contextlib

_READ_BYTES = 65536
_HELD_POLL_S = 0.02


class Proxy:
    """Passes bytes on between entries and a target, as long as it is told.

    Attributes:
        address: where entries connect.
        delay_s: how long each piece of bytes waits.
        holds_to_target: whether bytes to the target are held back.
        holds_to_entry: whether bytes to the entry are held back.
    """

    def __init__(self, upstream):
        self.upstream = upstream
        self.address = ""
        self.delay_s = 0.0
        self.holds_to_target = False
        self.holds_to_entry = False
        self._writers = set()
        self._server = None

    async def start(self, ip):
        """Listens; after `stop`, at the address that it had."""
        _, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, ip, int(port or 0)
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def stop(self):
        """Refuses connections, as an address at which nothing listens."""
        self._server.close()
        self.reset_all()

    def heal(self):
        self.delay_s = 0.0
        self.holds_to_target = self.holds_to_entry = False

    def reset_all(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, _, port = self.upstream.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, up_writer}
        pumps = [
            asyncio.create_task(
                self._pump(reader, up_writer, lambda: self.holds_to_target)
            ),
            asyncio.create_task(
                self._pump(up_reader, writer, lambda: self.holds_to_entry)
            ),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self._writers -= {writer, up_writer}
            for each in (writer, up_writer):
                each.transport.abort()

    async def _pump(self, reader, writer, is_held):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                await asyncio.sleep(self.delay_s)
                while is_held():
                    await asyncio.sleep(_HELD_POLL_S)
                writer.write(data)
                await writer.drain()
            # The last bytes leave before the connection is ended.
            writer.write_eof()
            await asyncio.sleep(_HELD_POLL_S)
