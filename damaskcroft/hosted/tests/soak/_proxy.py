"""A loopback proxy for one target that injects link faults."""

import asyncio
import contextlib

_READ_BYTES = 65536
_HELD_POLL_S = 0.02


class Proxy:
    """Relays bytes between entries and a target, with faults on demand.

    Attributes:
        address: address to which entries connect.
        delay_s: delay of each block of bytes.
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
        """Listens; after `stop`, at the same address as before."""
        _, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, ip, int(port or 0)
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def stop(self):
        """Resets all connections and refuses new ones."""
        self.stop_listening()
        self.reset_all()

    def stop_listening(self):
        """Refuses new connections; open ones go on."""
        self._server.close()

    def clear_faults(self):
        self.delay_s = 0.0
        self.holds_to_target = self.holds_to_entry = False

    def reset_all(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, _, port = self.upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        relays = [
            asyncio.create_task(
                self._relay(
                    reader, upstream_writer, lambda: self.holds_to_target
                )
            ),
            asyncio.create_task(
                self._relay(
                    upstream_reader, writer, lambda: self.holds_to_entry
                )
            ),
        ]
        try:
            await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for relay in relays:
                relay.cancel()
            self._writers -= {writer, upstream_writer}
            for stream in (writer, upstream_writer):
                stream.transport.abort()

    async def _relay(self, reader, writer, is_held):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                await asyncio.sleep(self.delay_s)
                while is_held():
                    await asyncio.sleep(_HELD_POLL_S)
                writer.write(data)
                await writer.drain()
            # Lets the last bytes be sent before the connection is aborted.
            writer.write_eof()
            await asyncio.sleep(_HELD_POLL_S)
