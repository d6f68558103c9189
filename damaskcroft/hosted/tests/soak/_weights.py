"""A model server whose staged pieces turn bad beside a suspended agent."""

import asyncio

from damaskcroft.hosted.tests.deployment import TARGET_IP, free_port, node_name
from damaskcroft.hosted.tests.model_server import (
    MODEL,
    PIECES,
    AgentSuspender,
    ModelServer,
    engine_values,
)
from damaskcroft.tasks import cancelled

_SERVICE = "weights"
# How long a piece may have been bad when it is loaded.
_MAX_BAD_S = 3.0
_SUSPENDED_S = (0.5, 5.0)
_MAX_SPOILT = 3
_LOAD_TIMEOUT_S = 20.0
_PUT_TIMEOUT_S = 45.0
_POLL_S = 0.05


class WeightsUnderFaults:
    """One model server, its agent, and an operator who names versions.

    Args:
        rng: draws suspensions and pieces.
        deployment: the processes.
        history: collects violations.
        journal: writes a line of the run's journal.
    """

    def __init__(self, rng, deployment, history, journal):
        self._rng = rng
        self._deployment = deployment
        self._history = history
        self._journal = journal
        self._ending = False
        self._address = f"{TARGET_IP}:{free_port()}"
        self._server = ModelServer(
            deployment, "weights-0", self._address, _SERVICE
        )

    def services(self):
        """Returns the services that configurations need for the versions."""
        return [
            {"name": _SERVICE, "engine": engine_values()},
            {"name": "origin", "origin": self._address},
        ]

    def end(self):
        """Lets `run` end after a version that is loaded without faults."""
        self._ending = True

    async def run(self):
        """Names version after version, until `end` and once after it."""
        async with self._server.running():
            version, is_last = self._server.version, False
            while not is_last:
                is_last = self._ending
                version += 1
                await self._load(version, is_calm=is_last)
        for bad_s in self._server.taken:
            if max(bad_s) > _MAX_BAD_S:
                self._history.violations.append(
                    f"a piece was loaded that was bad for {max(bad_s):.1f} s"
                )

    async def _load(self, version, *, is_calm):
        process = await self._ensure_agent()
        self._server.on_read = lambda index: None
        suspending = None
        if not is_calm:
            suspending = asyncio.create_task(self._suspend(process, version))
        try:
            await self._put(version)
            await self._wait_until_loaded(version, is_calm=is_calm)
        finally:
            await cancelled(suspending)

    async def _ensure_agent(self):
        """Returns the agent's process, started again if SIGHUP ended it."""
        process = self._deployment.processes.get(node_name("agent", TARGET_IP))
        if process is not None and process.returncode is None:
            return process
        return await self._deployment.start(
            "agent", TARGET_IP, target=self._address, service=_SERVICE
        )

    async def _put(self, version):
        values = {"model": MODEL, "version": version}
        try:
            await self._deployment.order_until_accepted(
                "/api/version-put", values, within_s=_PUT_TIMEOUT_S
            )
        except TimeoutError:
            self._history.violations.append(
                f"version {version} of weights is not acknowledged"
            )

    async def _wait_until_loaded(self, version, *, is_calm):
        try:
            async with asyncio.timeout(_LOAD_TIMEOUT_S):
                while self._server.version != version:
                    if self._ending and not is_calm:
                        return
                    await asyncio.sleep(_POLL_S)
        except TimeoutError:
            if is_calm:
                self._history.violations.append(
                    f"version {version} is not loaded after the last fault"
                )

    async def _suspend(self, process, version):
        """Suspends the agent once, when it reads a drawn piece back."""
        at_piece = self._rng.randrange(PIECES)
        spoilt = self._rng.sample(
            range(PIECES), self._rng.randint(1, _MAX_SPOILT)
        )
        for_s = self._rng.uniform(*_SUSPENDED_S)
        suspender = AgentSuspender(
            self._server, process, version, at_piece, spoilt
        )
        self._server.on_read = suspender.on_read
        try:
            await suspender.suspended.wait()
            self._journal(f"suspends the agent {for_s:.1f} s; bad: {spoilt}")
            await asyncio.sleep(for_s)
        finally:
            suspender.resume()
