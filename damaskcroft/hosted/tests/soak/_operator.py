"""Operators that put configurations and desired versions, and read them."""

import asyncio
import contextlib
import json
import time

from damaskcroft.hosted.tests.deployment import CONTROL_IPS
from damaskcroft.hosted.tests.soak._control_caller import ControlCaller

PATHS = {"once": "/once/a", "safe": "/safe/a", "stream": "/stream/a"}
# A change must be acknowledged within this time after its first attempt, under
# any faults: the longest series of faults without a majority, and as much again
# for recovery.
_ACKNOWLEDGE_TIMEOUT_S = 45.0
_RETRY_INTERVAL_S = 0.1
_CHANGE_INTERVAL_S = 0.7
# Shares of changes that are put in pairs, and of requests before a long idle
# time.
_CONCURRENT_SHARE = 0.3
_IDLE_SHARE = 0.02
# Time between two requests of a busy operator, and of one whose connections
# stay idle until control closes them.
_BUSY_S = (0.0, 0.1)
_IDLE_S = (4.0, 5.5)
_KEY = "key-one-xxxxxxxxxxxx"
_OTHER_KEY = "key-six-xxxxxxxxxxxx"
_SMALL_LIMITS = {
    "max_header_bytes": 1024, "max_body_bytes": 20,
    "header_timeout_ms": 500, "idle_timeout_ms": 1500,
}  # fmt: skip


class Versions:
    """Configurations of a run by version number, from 1.

    Args:
        timeout_ms: timeout of every route.
        with_key: whether requests need an API key.
        more_services: services beside the one that requests use.

    Attributes:
        newest: newest version that any operator has put; 0 before the first.
    """

    def __init__(self, timeout_ms, *, with_key, more_services=()):
        self._timeout_ms = timeout_ms
        self._more_services = more_services
        self._with_key = with_key
        self._lacks_by_version = {}
        self._unlocked = asyncio.Event()
        self._unlocked.set()
        self.newest = 0

    @property
    def credential(self):
        """The header with the callers' API key, if they need one."""
        return [(b"credential", _KEY.encode())] if self._with_key else []

    @property
    def credential_fields(self):
        """The same as keyword arguments of `Deployment.call`."""
        return {"credential": _KEY} if self._with_key else {}

    def next(self, lacks=""):
        """Returns the number of a new version.

        Args:
            lacks: what the version removes: service, routes, key or limits.
        """
        self.newest += 1
        self._lacks_by_version[self.newest] = lacks
        return self.newest

    @contextlib.contextmanager
    def exclusive(self):
        """Context in which other operators create no versions."""
        self._unlocked.clear()
        try:
            yield
        finally:
            self._unlocked.set()

    async def wait_until_unlocked(self):
        """Waits while another operator is in `exclusive`."""
        await self._unlocked.wait()

    def values(self, version):
        """Returns the configuration of a version.

        Each version adds a route, which stays in all later versions.
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
            "services": [{"name": service}, *self._more_services],
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
    """An operator with a kept connection to each control node."""

    def __init__(self, rng, deployment, history, versions, journal):
        self._rng = rng
        self._history = history
        self._versions = versions
        self._journal = journal
        self._weights = 0
        self._ending = asyncio.Event()
        self._callers = [
            ControlCaller(
                ip, f"{ip}:{deployment.control}", history.control_checker
            )
            for ip in CONTROL_IPS
        ]

    def end(self):
        """Lets the operator end after its current request."""
        self._ending.set()

    def close(self):
        """Closes its connections."""
        for caller in self._callers:
            caller.close()

    async def change_configurations(self):
        """Alternates puts and reads, with pauses, until `end`."""
        while not self._ending.is_set():
            await self._versions.wait_until_unlocked()
            if self._rng.random() < _CONCURRENT_SHARE:
                # The second is sent before the first is acknowledged.
                await asyncio.gather(self.put_next(), self.put_next())
            else:
                await self.put_next()
            await self._wait_unless_ending(_CHANGE_INTERVAL_S)
            await self._read()

    async def send_other_requests(self):
        """Sends requests that change no configuration, until `end`."""
        operations = (
            self._read,
            self._put_desired_version,
            self._put_acknowledged_again,
        )
        while not self._ending.is_set():
            await self._rng.choice(operations)()
            idles = self._rng.random() < _IDLE_SHARE
            await self._wait_unless_ending(
                self._rng.uniform(*(_IDLE_S if idles else _BUSY_S))
            )

    async def put_next(self, lacks=""):
        """Puts a new version until some node acknowledges it."""
        version = self._versions.next(lacks)
        values = self._versions.values(version)
        gives_up_at = time.monotonic() + _ACKNOWLEDGE_TIMEOUT_S
        while not await self._put(version, values):
            if time.monotonic() > gives_up_at:
                self._history.violations.append(
                    f"change {version} is not acknowledged"
                )
                self.end()
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _put(self, version, values):
        """Tries each node once; returns whether one acknowledged the change."""
        for caller in self._shuffled_callers():
            status, _ = await caller.send_request(
                "put", b"POST", "/api/config/put", values
            )
            if status == 200:
                self._history.change_acknowledged(version)
                self._journal(f"acknowledged {version}")
                return True
        return False

    async def _put_acknowledged_again(self):
        """Puts a change that was already acknowledged."""
        version = self._rng.randint(1, self._history.acknowledged)
        values = self._versions.values(version)
        caller = self._rng.choice(self._callers)
        await caller.send_request("put", b"POST", "/api/config/put", values)

    async def _read(self):
        newest = self._history.acknowledged
        caller = self._rng.choice(self._callers)
        status, body = await caller.send_request(
            "read", b"GET", "/api/config/get"
        )
        if status != 200:
            return
        values = json.loads(body)
        if values["version"] < newest:
            self._history.version_read(values["version"])
        if values != self._versions.values(values["version"]):
            self._history.violations.append(
                f"other content of {values['version']}"
            )

    async def _put_desired_version(self):
        self._weights += 1
        caller = self._rng.choice(self._callers)
        await caller.send_request(
            "version",
            b"POST",
            "/api/version-put",
            {"model": "m", "version": self._weights},
        )

    async def _wait_unless_ending(self, seconds):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._ending.wait(), seconds)

    def _shuffled_callers(self):
        return self._rng.sample(self._callers, len(self._callers))
