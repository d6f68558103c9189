"""Fake targets on loopback with scripted faults, and an entry for them."""

import asyncio
import contextlib

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView
from damaskcroft.forwarding import (
    AnswerFacts,
    Call,
    EntryGate,
    Forwarder,
    Services,
    Suspects,
    Wire,
    follow_cold_targets,
)
from damaskcroft.http1 import (
    ConnectionPool,
    retry_after_s,
    serve_callers,
)
from damaskcroft.limits import RateLimits, parse_limit
from damaskcroft.routing import (
    AnswerDelays,
    BackPressure,
    FleetRetryBudget,
    Outliers,
    Placer,
    SilenceWatch,
)

EVENTS = 6


class PlainWire(Wire):
    """Encoding with plain header names, independent of the platform."""

    def call(self, request):
        last = request.value(b"x-last")
        return Call(
            request_id=request.value(b"x-id"),
            method=request.method,
            target=request.target,
            host=request.value(b"host"),
            path=request.target.decode(),
            headers=[(b"x-id", request.value(b"x-id").encode())],
            body=request.body,
            key=request.value(b"x-key"),
            deadline_s=float(request.value(b"x-deadline") or 2),
            arrived_at=request.arrived_at,
            last_event_id=int(last) if last else None,
            model=request.value(b"x-model"),
            prompt_tokens=0,
            max_answer_tokens=0,
            prefix_ids=tuple(request.value(b"x-parts").split()),
        )

    def target_headers(self, call, passing):
        headers = [
            *call.headers,
            (b"host", b"h"),
            (b"x-target", passing.target_id.encode()),
            (b"x-customer", passing.customer.encode()),
            (b"x-deadline", b"%f" % passing.deadline_s),
        ]
        if passing.last_event_id is not None:
            headers.append((b"x-last", b"%d" % passing.last_event_id))
        return headers

    def facts(self, head):
        return AnswerFacts(
            request_id=head.value(b"x-id"),
            not_run=bool(head.value(b"x-not-run")),
            sealed=bool(head.value(b"x-seal")),
            target_id="",
            load=None,
            weights_version=0,
            misdirected=head.status == 421,
            rest_s=retry_after_s(head.value(b"x-rest")),
            leaving=bool(head.value(b"x-leaving")),
            limit=parse_limit(head.values(b"x-limit")),
        )

    def answer_headers(self, head):
        return [h for h in head.headers if h[0].startswith(b"x-")]

    def refusal_headers(self, request_id, retry_after_s):
        if retry_after_s is None:
            return []
        return [(b"retry-after", b"%.2f" % retry_after_s)]


class FakeTarget:
    """Target that applies the next mode to each request; the last one stays.

    A mode is the name of a method that answers a request.
    """

    def __init__(self, name, *modes):
        self.name = name
        self.modes = list(modes)
        self.heads = []
        self.held = []
        self.failure_domain = ""
        self.disconnects = 0
        self.address = ""
        self.server = None
        # Back-off that it requests, in the mode `rests`.
        self.back_off = "1"
        # Duration of the silence, in modes that pause.
        self.pause_s = 1.3
        # Rate limit in its complete answers; None for no header.
        self.limit = None

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await self.read(reader)
                self.heads.append(head)
                mode = (
                    self.modes.pop(0) if len(self.modes) > 1 else self.modes[0]
                )
                if not await getattr(self, mode)(head, reader, writer):
                    break
        writer.close()

    async def read(self, reader):
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        head = dict(line.split(": ", 1) for line in lines[1:] if line)
        head = {name.lower(): value for name, value in head.items()}
        await reader.readexactly(int(head.get("content-length", 0)))
        return head

    async def whole(self, head, reader, writer, status=b"200 OK", seal=b"s"):
        body = self.name.encode()
        writer.write(
            b"HTTP/1.1 " + status + b"\r\nX-Id: " + head["x-id"].encode()
            + (b"\r\nX-Seal: " + seal if seal else b"")
            + (b"\r\nX-Limit: " + self.limit if self.limit else b"")
            + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )  # fmt: skip
        await writer.drain()
        return True

    async def fails(self, head, reader, writer):
        return await self.whole(head, reader, writer, b"500 Oops")

    async def unsealed(self, head, reader, writer):
        return await self.whole(head, reader, writer, seal=b"")

    async def not_run(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        return True

    async def misdirected(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 421 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        return True

    async def rests(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Rest: %s\r\n"
            b"Content-Length: 0\r\n\r\n" % self.back_off.encode()
        )
        return True

    async def leaves(self, head, reader, writer, status=b"200 OK"):
        writer.write(
            b"HTTP/1.1 " + status + b"\r\nX-Seal: s\r\nX-Leaving: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )  # fmt: skip
        return True

    async def leaves_and_fails(self, head, reader, writer):
        return await self.leaves(head, reader, writer, b"500 Oops")

    async def leaves_within_a_stream(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Leaving: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        return True

    async def only_for_itself(self, head, reader, writer):
        if head["x-target"] == self.name:
            return await self.whole(head, reader, writer)
        return await self.misdirected(head, reader, writer)

    async def silent_close(self, head, reader, writer):
        return False

    async def dies(self, head, reader, writer):
        """Simulates a process that ends: its address refuses connections."""
        self.server.close()
        return False

    async def streams_and_dies(self, head, reader, writer):
        self.server.close()
        return await self.stream(head, reader, writer, up_to=3)

    async def ends_by_close(self, head, reader, writer, leaving=False):
        """Answers without a length; the close marks the end."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: s\r\n"
            + (b"X-Leaving: 1\r\n" if leaving else b"")
            + b"\r\n"
            + self.name.encode()
        )
        await writer.drain()
        return False

    async def ends_by_close_and_dies(self, head, reader, writer):
        self.server.close()
        return await self.ends_by_close(head, reader, writer)

    async def ends_by_close_and_leaves(self, head, reader, writer):
        self.server.close()
        return await self.ends_by_close(head, reader, writer, leaving=True)

    async def ends_by_close_and_dies_later(self, head, reader, writer):
        asyncio.get_running_loop().call_later(0.02, self.server.close)
        return await self.ends_by_close(head, reader, writer)

    async def cut_body(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 99\r\n\r\nabc"
        )
        await writer.drain()
        return False

    async def hangs(self, head, reader, writer):
        # The disconnect may appear as an end of the stream or as a reset.
        with contextlib.suppress(ConnectionError):
            await reader.read(1)
        self.disconnects += 1
        return False

    async def stream(
        self, head, reader, writer, up_to=EVENTS, tail=b"", pause_after=None
    ):
        first = int(head.get("x-last", 0)) + 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: " + self.name.encode()
            + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )  # fmt: skip
        for number in range(first, up_to + 1):
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            pauses = pause_after in (number, "each")
            await asyncio.sleep(self.pause_s if pauses else 0)
        if up_to == EVENTS:
            writer.write(b"0\r\n\r\n")
            return True
        if tail:
            writer.write(b"%x\r\n%s\r\n" % (len(tail), tail))
            await writer.drain()
        return False

    async def pauses(self, head, reader, writer):
        await asyncio.sleep(self.pause_s)
        return await self.whole(head, reader, writer)

    async def stream_after_a_pause(self, head, reader, writer):
        await asyncio.sleep(self.pause_s)
        return await self.stream(head, reader, writer)

    async def stream_pauses(self, head, reader, writer):
        return await self.stream(head, reader, writer, pause_after=3)

    async def stream_slowly(self, head, reader, writer):
        self.pause_s = 0.2
        return await self.stream(head, reader, writer, pause_after="each")

    async def stream_fails(self, head, reader, writer):
        return await self.fails(head, reader, writer)

    async def stream_dies_late(self, head, reader, writer):
        await self.stream(head, reader, writer, up_to=3)
        await asyncio.sleep(self.pause_s)
        return False

    async def stream_dies_soon(self, head, reader, writer):
        self.pause_s = 0.2
        return await self.stream_dies_late(head, reader, writer)

    async def stream_cut_soon(self, head, reader, writer):
        await self.stream(head, reader, writer, up_to=3)
        await asyncio.sleep(0.2)
        return False

    async def cut_body_soon(self, head, reader, writer):
        await asyncio.sleep(0.2)
        return await self.cut_body(head, reader, writer)

    async def stream_hangs(self, head, reader, writer):
        await self.stream(head, reader, writer, up_to=3)
        return await self.hangs(head, reader, writer)

    async def endless_event(self, head, reader, writer):
        """Sends one event without an end, until the entry closes."""
        await self.stream(head, reader, writer, 0)
        return await self.pump_chunks(writer)

    async def pump_chunks(self, writer):
        piece = b"x" * 16 * 1024
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()

    async def stream_cut(self, head, reader, writer):
        return await self.stream(head, reader, writer, up_to=3)

    async def stream_cut_within(self, head, reader, writer):
        return await self.stream(head, reader, writer, 3, b"id: 4\nda")


def route(**fields):
    values = dict(
        name="r", host="h", path_prefix="/", timeout_ms=2000, max_attempts=2,
        public=True, shares=[fleet_pb2.Share(service="s", weight=1)],
    )  # fmt: skip
    return fleet_pb2.Route(**(values | fields))


def configuration(version, *routes, customers=(), keys_required=False):
    return fleet_pb2.Configuration(
        version=version,
        routes=routes,
        services=[fleet_pb2.Service(name="s")],
        customers=customers,
        keys_required=keys_required,
    )


class Entry:
    """The request path of an entry, without a connection to control."""

    def __init__(
        self, view, gate, placer, services, address, cold_targets=None
    ):
        self.view = view
        self.services = services
        self.gate = gate
        self.placer = placer
        self.address = address
        self.cold_targets = cold_targets

    def candidates(self):
        return self.services.candidates("s", "")

    async def connect(self):
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, port)

    async def send_request(self, path="/a", **headers):
        """Sends a request and returns the status, headers and body."""
        reader, writer = await self.connect()
        names = {"x_id": "1"} | headers
        lines = [f"POST {path} HTTP/1.1", "Host: h", "Connection: close"]
        lines += [f"{n.replace('_', '-')}: {v}" for n, v in names.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        async with asyncio.timeout(10):
            answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), head.decode("latin-1").lower(), body


@contextlib.asynccontextmanager
async def running_entry(
    *targets,
    config=None,
    ratio=1.0,
    extra=100.0,
    weights_s=0.0,
    drain_s=2.0,
    region_by_domain=None,
    hedge_share=0.0,
):
    """Runs an entry that knows `targets` as the service "s"."""
    view = FleetView()
    cold_targets = follow_cold_targets(view, "e", 1.0, 0.0, 1.0)
    if config is not None:
        view.apply_configuration(config)
    servers = []
    for target in targets:
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        servers.append(server)
        target.server = server
        port = server.sockets[0].getsockname()[1]
        target.address = f"127.0.0.1:{port}"
        view.merge(
            [
                fleet_pb2.TargetState(
                    id=target.name, service="s", address=target.address,
                    slots=4, sequence=1, held=target.held,
                    failure_domain=target.failure_domain,
                )
            ]
        )  # fmt: skip
    outliers = Outliers()
    back_pressure = BackPressure(drain_s)
    limits = RateLimits(
        view.limits,
        "e",
        frozenset,
        lambda limits: view.merge([], limits=limits),
    )
    placer = Placer(
        "d",
        "r",
        outliers,
        is_half_open=back_pressure.is_half_open,
        is_deferred=limits.is_deferred,
        is_probe_due=limits.is_probe_due,
    )
    wire = PlainWire()
    delays = AnswerDelays()
    services = Services(
        view, region_by_domain or {}, weights_s, delays.expected_delay_s
    )
    forwarder = Forwarder(
        wire,
        services,
        placer,
        outliers,
        ConnectionPool(),
        FleetRetryBudget(
            ratio, extra, 10, lambda _, whole: max(0, whole), lambda: 1
        ),
        SilenceWatch(),
        delays,
        back_pressure,
        limits,
        cold_targets,
        Suspects(
            view.crashes,
            services,
            back_pressure,
            lambda crashes: view.merge([], crashes=crashes),
        ),
        view.demote_target,
        hedge_share,
    )
    watching = asyncio.create_task(forwarder.run())
    gate = EntryGate(wire, view, forwarder)
    async with serve_callers("127.0.0.1:0", gate) as connections:
        yield Entry(
            view, gate, placer, services, connections.address, cold_targets
        )
    watching.cancel()
    for server in servers:
        server.close()


def unchunked(body):
    """Payload of a chunked body, and whether its last chunk was received."""
    payload, complete = b"", False
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            complete = True
            break
        payload, body = payload + body[:length], body[length + 2 :]
    return payload, complete


def event_ids(payload):
    return [
        int(line[4:]) for line in payload.split(b"\n") if line[:4] == b"id: "
    ]
