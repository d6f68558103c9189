"""Operators that change, read and name versions, and what they put."""

import asyncio
import contextlib
import json
import time

from damaskcroft.hosted.tests.deployment import CONTROL_IPS
from damaskcroft.hosted.tests.soak._control_caller import ControlCaller

PATHS = {"once": "/once/a", "safe": "/safe/a", "stream": "/stream/a"}
# A change is acknowledged so long after it was put first, whatever fails
# meanwhile: the longest run of faults that a majority is away for, and as much
# again to recover.
_ACKNOWLEDGED_WITHIN_S = 45.0
_AGAIN_AFTER_S = 0.1
_CALM_S = 0.7
# Shares of changes that come two at a time, and of requests before a long rest.
_IN_SERIES = 0.3
_IDLES = 0.02
# Between two requests of a busy operator, and of one whose connections idle
# until control ends them.
_BUSY_S = (0.0, 0.1)
_IDLE_S = (4.0, 5.5)
_KEY = "key-one-xxxxxxxxxxxx"
_OTHER_KEY = "key-six-xxxxxxxxxxxx"
_SMALL_LIMITS = {
    "max_header_bytes": 1024, "max_body_bytes": 20,
    "header_timeout_ms": 500, "idle_timeout_ms": 1500,
}  # fmt: skip


class Versions:
    """The configurations of a run by their version; versions count from 1.

    Args:
        timeout_ms: of every route.
        with_key: whether requests need a key.

    Attributes:
        newest: the newest version that any operator has put; 0 before.
    """

    def __init__(self, timeout_ms, *, with_key):
        self._timeout_ms = timeout_ms
        self._with_key = with_key
        self._lacks_by_version = {}
        self._free = asyncio.Event()
        self._free.set()
        self.newest = 0

    @property
    def credential(self):
        """The header by which callers show their key."""
        return [(b"credential", _KEY.encode())] if self._with_key else []

    @property
    def credential_fields(self):
        """The same, for `Deployment.call`."""
        return {"credential": _KEY} if self._with_key else {}

    def next(self, lacks=""):
        """A new version.

        Args:
            lacks: what it takes away: service, routes, key or limits.
        """
        self.newest += 1
        self._lacks_by_version[self.newest] = lacks
        return self.newest

    @contextlib.contextmanager
    def held(self):
        """Keeps other operators from new versions."""
        self._free.clear()
        try:
            yield
        finally:
            self._free.set()

    async def wait_until_free(self):
        """Waits while some other operator holds the versions."""
        await self._free.wait()

    def values(self, version):
        """The configuration that is put as a version.

        Routes that versions have added stay in each later one.
        """
        lacks = self._lacks_by_version.get(version, "")
        service = "other" if lacks == "service" else "s"
        routes = [self._route(kind, kind, service) for kind in PATHS]
        routes += [
            self._route(f"v{added}", "safe", service)
            for added in range(1, version + 1)
        ]
        if lacks == "routes":
            routes = routes[len(PATHS) :]
        values = {
            "version": version,
            "routes": routes,
            "services": [{"name": service}],
        }
        if self._with_key:
            key = _OTHER_KEY if lacks == "key" else _KEY
            values["tenants"] = [{"name": "t", "api_keys": [key]}]
        if lacks == "limits":
            values["limits"] = _SMALL_LIMITS
        return values

    def _route(self, name, kind, service):
        return {
            "name": name, "host": "h", "path_prefix": f"/{name}/",
            "kind": {"once": "unsafe", "safe": "safe"}.get(kind, "streaming"),
            "resumable": kind == "stream", "timeout_ms": self._timeout_ms,
            "service": service, "max_attempts": 2 if kind != "once" else 1,
        }  # fmt: skip


class Operator:
    """One operator, with a kept connection to each control node."""

    def __init__(self, rng, deployment, book, versions, note):
        self._rng = rng
        self._book = book
        self._versions = versions
        self._note = note
        self._weights = 0
        self._ending = asyncio.Event()
        self._callers = [
            ControlCaller(ip, f"{ip}:{deployment.control}", book.control_owed)
            for ip in CONTROL_IPS
        ]

    def end(self):
        """Lets it end after what it is at."""
        self._ending.set()

    def close(self):
        """Ends its connections."""
        for caller in self._callers:
            caller.close()

    async def change_forever(self):
        """Puts and reads by turns, with rests, until `end`."""
        while not self._ending.is_set():
            await self._versions.wait_until_free()
            if self._rng.random() < _IN_SERIES:
                # The second before the first is acknowledged.
                await asyncio.gather(self.put_next(), self.put_next())
            else:
                await self.put_next()
            await self._rest(_CALM_S)
            await self._read()

    async def ask_forever(self):
        """Sends what changes no configuration, until `end`."""
        works = (self._read, self._name_weights, self._put_old)
        while not self._ending.is_set():
            await self._rng.choice(works)()
            idles = self._rng.random() < _IDLES
            await self._rest(
                self._rng.uniform(*(_IDLE_S if idles else _BUSY_S))
            )

    async def put_next(self, lacks=""):
        """Puts a new version until it is acknowledged, by whichever node."""
        version = self._versions.next(lacks)
        values = self._versions.values(version)
        gives_up_at = time.monotonic() + _ACKNOWLEDGED_WITHIN_S
        while not await self._put(version, values):
            if time.monotonic() > gives_up_at:
                self._book.broken.append(
                    f"change {version} is not acknowledged"
                )
                self.end()
                return
            await asyncio.sleep(_AGAIN_AFTER_S)

    async def _put(self, version, values):
        """Whether some node has acknowledged it, each asked once."""
        for caller in self._in_any_order():
            status, _ = await caller.ask(
                "put", b"POST", "/api/config/put", values
            )
            if status == 200:
                self._book.was_acknowledged(version)
                self._note(f"acknowledged {version}")
                return True
        return False

    async def _put_old(self):
        """A change that was acknowledged, sent once more."""
        version = self._rng.randint(1, self._book.acknowledged)
        values = self._versions.values(version)
        caller = self._rng.choice(self._callers)
        await caller.ask("put", b"POST", "/api/config/put", values)

    async def _read(self):
        newest = self._book.acknowledged
        caller = self._rng.choice(self._callers)
        status, body = await caller.ask("read", b"GET", "/api/config/get")
        if status != 200:
            return
        values = json.loads(body)
        if values["version"] < newest:
            self._book.read_back(values["version"])
        if values != self._versions.values(values["version"]):
            self._book.broken.append(f"other content of {values['version']}")

    async def _name_weights(self):
        self._weights += 1
        caller = self._rng.choice(self._callers)
        await caller.ask(
            "version",
            b"POST",
            "/api/version-put",
            {"model": "m", "version": self._weights},
        )

    async def _rest(self, seconds):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._ending.wait(), seconds)

    def _in_any_order(self):
        return self._rng.sample(self._callers, len(self._callers))
