"""One seed: processes, callers and an operator, faults, and the checks."""

import asyncio
import contextlib
import itertools
import json
import random

from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ENTRY_IPS,
    Deployment,
)
from damaskcroft.hosted.tests.soak._book import CONTACT_S, Asked, Book
from damaskcroft.hosted.tests.soak._faults import (
    Injector,
    has_changes,
    has_pauses,
    schedule,
)
from damaskcroft.hosted.tests.soak._operator import PATHS, Operator, Versions
from damaskcroft.hosted.tests.soak._target import CRASHING, Target
from damaskcroft.http1 import (
    CutShortError,
    NoAnswerError,
    TargetConnection,
    connect,
)

_KINDS_BY_PATH = {path: kind for kind, path in PATHS.items()}
_TARGETS = 3
_CALLERS = 6
# Those that change configurations, and all; the others only ask control.
_CHANGING_OPERATORS = 2
_OPERATORS = 10
_DEADLINE_MS = 3000
# Where targets pause: the longest pause, and as much as a request takes that is
# sent once more.
_DEADLINE_WITH_PAUSES_MS = 6000
# When nothing is disturbed any more.
_DEADLINE_AT_END_MS = 1000
# Callers wait this much longer, to see what comes late.
_PATIENCE_S = 5.0
# After the last fault, until everything must serve and tell the newest again.
_RECOVERY_S = 12.0
_MAX_REQUESTS_ON_ONE = 20
# Of the request that crashes its targets: what is known to be enough, also
# where targets were crashed beside it, and some crash was seen by nobody.
_CRASHES_SURELY_KNOWN = 8


class Soak:
    """A run of one seed.

    Args:
        seed: names the schedule.
        folder: for settings, disks, logs and the journal.
    """

    def __init__(self, seed, folder):
        self.seed = seed
        self.folder = folder
        self.book = Book()
        self._deadline_ms = (
            _DEADLINE_WITH_PAUSES_MS if has_pauses(seed) else _DEADLINE_MS
        )
        self.deployment = Deployment(folder)
        self.targets = [
            Target(f"t{n}", self.deployment, self.book, keeps_id=n % 2 == 0)
            for n in range(_TARGETS)
        ]
        self.injector = Injector(
            self.deployment,
            self.targets,
            self.note,
            self.book,
            self._ask_crashing,
            self._taken_away,
        )
        self._versions = Versions(self._deadline_ms, with_key=has_changes(seed))
        self._operators = [
            Operator(
                random.Random(f"{seed}/operator{number}"),
                self.deployment,
                self.book,
                self._versions,
                self.note,
            )
            for number in range(_OPERATORS)
        ]
        self._crashing_rng = random.Random(f"{seed}/crashing")
        self._ids = itertools.count(1)
        self._ending = False

    def note(self, what):
        at = asyncio.get_running_loop().time()
        with (self.folder / "journal.txt").open("a") as file:
            file.write(f"{at:.3f} {what}\n")

    async def run(self, seconds):
        """Plays the seed; gives the broken promises."""
        for ip in CONTROL_IPS:
            await self.deployment.start("control", ip)
        for ip in ENTRY_IPS:
            await self.deployment.start("entry", ip)
        try:
            await self._until_configured()
            for target in self.targets:
                await target.start()
            callers = [
                asyncio.create_task(self._call_forever(n))
                for n in range(_CALLERS)
            ]
            operating = [
                asyncio.create_task(operator.change_forever())
                for operator in self._operators[:_CHANGING_OPERATORS]
            ]
            operating += [
                asyncio.create_task(operator.ask_forever())
                for operator in self._operators[_CHANGING_OPERATORS:]
            ]
            await self.injector.play(schedule(self.seed, seconds))
            self.note("healed")
            self._ending = True
            for operator in self._operators:
                operator.end()
            await asyncio.gather(*callers, *operating)
            await self._check_recovered()
            await self._check_quarantine()
            for ip in CONTROL_IPS:
                log = self.deployment.log("control", ip)
                self.book.control_owed.logged(ip, log)
            self.book.check_bounds()
        finally:
            for operator in self._operators:
                operator.close()
            for target in self.targets:
                if target.proxy is not None:
                    await target.stop()
            await self.deployment.stop()
            # The proxies' tasks end with their connections.
            await asyncio.sleep(0.2)
        for what in self.book.broken:
            self.note(f"BROKEN {what}")
        return self.book.broken

    # --- Operators -------------------------------------------------------

    async def _until_configured(self):
        async with asyncio.timeout(30):
            await self._operators[0].put_next()

    @contextlib.asynccontextmanager
    async def _taken_away(self, what):
        """The newest configuration lacks something meanwhile."""
        with self._versions.held():
            await self._operators[0].put_next(lacks=what)
            try:
                yield
            finally:
                await self._operators[0].put_next()

    # --- Callers -----------------------------------------------------------

    async def _call_forever(self, number):
        rng = random.Random(f"{self.seed}/{number}")
        while not self._ending:
            ip = rng.choice(ENTRY_IPS)
            if self.injector.added and number % 3 == 0:
                ip = self.injector.added
            try:
                channel = await connect(f"{ip}:{self.deployment.front}", 1.0)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            connection = TargetConnection(channel, "", "")
            with contextlib.suppress(
                NoAnswerError, CutShortError, TimeoutError
            ):
                await self._use(connection, ip, rng)
            connection.close()

    async def _use(self, connection, ip, rng):
        """Requests on one connection, for as long as it is there."""
        for _ in range(_MAX_REQUESTS_ON_ONE):
            if self._ending:
                return
            boot = f"{ip}/{self.injector.boots[ip]}"
            version = 0
            kind = rng.choice(["once", "once", "safe", "stream", "version"])
            path = PATHS.get(kind)
            if path is None:
                version = rng.randint(1, self._versions.newest)
                kind, path = "safe", f"/v{version}/a"
            status, is_last = await self._ask(connection, kind, path, ip)
            if version and boot == f"{ip}/{self.injector.boots[ip]}":
                self.book.saw_version(boot, version, status)
            if is_last:
                return
            await asyncio.sleep(rng.uniform(0, 0.1))

    async def _ask_crashing(self, ip=""):
        """One copy of the request that crashes its targets; its status."""
        ip = ip or self._crashing_rng.choice(ENTRY_IPS)
        request_id = f"s{self.seed}-{next(self._ids)}"
        asked = Asked("safe", entry=ip, crashes_as="crash")
        self.book.asked_by_id[request_id] = asked
        asked.status, _, _ = await self.deployment.call(
            ip, self.deployment.front, b"POST", PATHS["safe"], CRASHING,
            request_id=request_id, deadline_ms=self._deadline_ms,
            **self._versions.credential_fields,
        )  # fmt: skip
        return asked.status

    async def _ask(self, connection, kind, path, entry):
        request_id = f"s{self.seed}-{next(self._ids)}"
        asked = self.book.asked_by_id[request_id] = Asked(
            kind, entry=entry, budget_s=self._deadline_ms / 1000
        )
        headers = [
            (b"host", b"h"), (b"request-id", request_id.encode()),
            (b"deadline-ms", b"%d" % self._deadline_ms),
        ]  # fmt: skip
        headers += self._versions.credential
        body = b"" if kind == "safe" else b"x" * 300
        method = b"GET" if kind == "safe" else b"POST"
        try:
            async with asyncio.timeout(asked.budget_s + _PATIENCE_S):
                await connection.send(method, path.encode(), headers, body)
                head = await connection.read_head(lambda _: True)
                while part := await connection.read_part():
                    asked.body += part
                asked.complete = True
                asked.status = head.status
        except CutShortError:
            asked.status = head.status
            raise
        finally:
            self.book.answered(request_id)
        return asked.status, head.value(b"connection") == "close"

    # --- The end -----------------------------------------------------------

    async def _check_recovered(self):
        """All serve, and the newest acknowledged version is read and used."""
        ends_at = asyncio.get_running_loop().time() + _RECOVERY_S
        missing = ["nothing was looked at"]
        while missing and asyncio.get_running_loop().time() < ends_at:
            missing = [what async for what in self._missing()]
            await asyncio.sleep(0.2)
        self.book.broken += missing

    async def _check_quarantine(self):
        """What has crashed enough targets is still refused everywhere."""
        if len(self.book.crashes["crash"]) < _CRASHES_SURELY_KNOWN:
            return
        await asyncio.sleep(CONTACT_S)
        statuses = [await self._ask_crashing(ip) for ip in 2 * ENTRY_IPS]
        if statuses != [503] * len(statuses):
            self.book.broken.append(f"not refused at the end: {statuses}")

    async def _missing(self):
        status, body = await self.deployment.operator(b"GET", "/api/config/get")
        if status != 200:
            yield f"configuration can't be read: {status}"
        elif json.loads(body) != self._versions.values(self._versions.newest):
            yield "another configuration is read than was acknowledged last"
        for ip in ENTRY_IPS:
            for path in (*PATHS.values(), f"/v{self._versions.newest}/a"):
                status = await self._ask_alone(path, ip)
                if status != 200:
                    yield f"{ip} answers {path} with {status}"

    async def _ask_alone(self, path, entry):
        """A request on its own connection; its status."""
        request_id = f"s{self.seed}-{next(self._ids)}"
        kind = _KINDS_BY_PATH.get(path, "safe")
        asked = self.book.asked_by_id[request_id] = Asked(
            kind, entry=entry, budget_s=_DEADLINE_AT_END_MS / 1000
        )
        asked.status, _, asked.body = await self.deployment.call(
            entry, self.deployment.front, b"GET", path,
            request_id=request_id, deadline_ms=_DEADLINE_AT_END_MS,
            **self._versions.credential_fields,
        )  # fmt: skip
        asked.complete = asked.status != 0
        self.book.answered(request_id)
        return asked.status
