"""Plays one seed: starts processes, load and faults, and checks the result."""

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
from damaskcroft.hosted.tests.soak._evacuations import (
    EVACUATED_DOMAIN,
    OTHER_DOMAIN,
    AbandoningOperator,
    EvacuatingOperator,
    has_evacuations,
)
from damaskcroft.hosted.tests.soak._faults import (
    Injector,
    has_changes,
    has_lost_answers,
    has_parts,
    has_pauses,
    has_suspensions,
    schedule,
)
from damaskcroft.hosted.tests.soak._history import (
    CONTACT_S,
    PART,
    History,
    RequestRecord,
)
from damaskcroft.hosted.tests.soak._operator import PATHS, Operator, Versions
from damaskcroft.hosted.tests.soak._target import (
    CRASH_MARKER,
    CRASHING_PART,
    CrashEnding,
    Target,
)
from damaskcroft.hosted.tests.soak._weights import WeightsUnderFaults
from damaskcroft.http1 import (
    CutShortError,
    NoAnswerError,
    TargetConnection,
    connect,
)

_KINDS_BY_PATH = {path: kind for kind, path in PATHS.items()}
_TARGETS = 3
_CALLERS = 6
# Number of operators that change configurations, and of all operators. The
# others send requests that change none.
_CHANGING_OPERATORS = 2
_OPERATORS = 10
_DEADLINE_MS = 3000
# For seeds with pauses of targets: the longest pause, and the time of a request
# that is sent a second time.
_DEADLINE_WITH_PAUSES_MS = 6000
# After the last disruption.
_DEADLINE_AT_END_MS = 1000
# Callers wait this long after their deadline, to detect late answers.
_EXTRA_WAIT_S = 5.0
# Time after the last fault within which all nodes must serve, with the newest
# configuration.
_RECOVERY_S = 12.0
# Retries allowed in a window beyond the ratio, for seeds with lost answers.
_RETRY_EXTRA = 20
_MAX_REQUESTS_PER_CONNECTION = 20
# Number of crashes by which the crashing request is certainly quarantined, even
# if targets also crashed for other reasons and some crashes were not observed.
_CRASHES_SURELY_QUARANTINED = 8
# The same for the crashing part: each request with it has two attempts.
_CRASHES_PART_SURELY_QUARANTINED = 16


class Soak:
    """A run of one seed.

    Args:
        seed: number that determines the schedule.
        folder: folder for settings, disks, logs and the journal.
    """

    def __init__(self, seed, folder):
        self.seed = seed
        self.folder = folder
        retry_extra = _RETRY_EXTRA if has_lost_answers(seed) else 0
        self.history = History(retry_extra)
        self._deadline_ms = (
            _DEADLINE_WITH_PAUSES_MS if has_pauses(seed) else _DEADLINE_MS
        )
        self.deployment = Deployment(folder, retry_extra)
        self.targets = [
            Target(
                f"t{n}",
                self.deployment,
                self.history,
                keeps_id=n % 2 == 0,
                domain=self._domain_of(n),
            )
            for n in range(_TARGETS)
        ]
        operator_type = (
            AbandoningOperator if has_suspensions(seed) else EvacuatingOperator
        )
        self._evacuating = operator_type(
            random.Random(f"{seed}/evacuations"),
            self.deployment,
            self.history,
            self.write_journal,
        )
        self.injector = Injector(
            self.deployment,
            self.targets,
            self.write_journal,
            self.history,
            self._send_crashing_request,
            self._send_crashing_part,
            self._configuration_lacking,
        )
        self._weights = WeightsUnderFaults(
            random.Random(f"{seed}/weights"),
            self.deployment,
            self.history,
            self.write_journal,
        )
        self._versions = Versions(
            self._deadline_ms,
            with_key=has_changes(seed),
            more_services=(
                self._weights.services() if has_suspensions(seed) else ()
            ),
        )
        self._operators = [
            Operator(
                random.Random(f"{seed}/operator{number}"),
                self.deployment,
                self.history,
                self._versions,
                self.write_journal,
            )
            for number in range(_OPERATORS)
        ]
        self._crashing_rng = random.Random(f"{seed}/crashing")
        self._parts_rng = random.Random(f"{seed}/crashing parts")
        self._ids = itertools.count(1)
        self._ending = False

    def _domain_of(self, number):
        """The failure domain that a target announces; empty for none."""
        if not has_evacuations(self.seed):
            return ""
        return OTHER_DOMAIN if number else EVACUATED_DOMAIN

    def write_journal(self, message):
        at = asyncio.get_running_loop().time()
        with (self.folder / "journal.txt").open("a") as file:
            file.write(f"{at:.3f} {message}\n")

    async def run(self, seconds):
        """Plays the seed; returns the violations."""
        for ip in CONTROL_IPS:
            await self.deployment.start("control", ip)
        for ip in ENTRY_IPS:
            await self.deployment.start("entry", ip)
        try:
            await self._wait_until_configured()
            for target in self.targets:
                await target.start()
            caller_tasks = [
                asyncio.create_task(self._run_caller(n))
                for n in range(_CALLERS)
            ]
            operator_tasks = [
                asyncio.create_task(operator.change_configurations())
                for operator in self._operators[:_CHANGING_OPERATORS]
            ]
            operator_tasks += [
                asyncio.create_task(operator.send_other_requests())
                for operator in self._operators[_CHANGING_OPERATORS:]
            ]
            if has_evacuations(self.seed):
                operator_tasks.append(
                    asyncio.create_task(self._evacuating.run())
                )
            if has_suspensions(self.seed):
                operator_tasks.append(asyncio.create_task(self._weights.run()))
            await self.injector.play(schedule(self.seed, seconds))
            self.write_journal("healed")
            self._ending = True
            self._evacuating.end()
            self._weights.end()
            for operator in self._operators:
                operator.end()
            await asyncio.gather(*caller_tasks, *operator_tasks)
            await self._check_recovered()
            await self._check_evacuated()
            await self._check_quarantine()
            for ip in CONTROL_IPS:
                log = self.deployment.log("control", ip)
                self.history.control_checker.scan_log(ip, log)
            self.history.check_bounds()
        finally:
            for operator in self._operators:
                operator.close()
            for target in self.targets:
                if target.proxy is not None:
                    await target.stop()
            await self.deployment.stop()
            # Lets the tasks of the proxies end with their connections.
            await asyncio.sleep(0.2)
        for message in self.history.violations:
            self.write_journal(f"BROKEN {message}")
        return self.history.violations

    # --- Operators -------------------------------------------------------

    async def _wait_until_configured(self):
        async with asyncio.timeout(30):
            await self._operators[0].put_next()

    @contextlib.asynccontextmanager
    async def _configuration_lacking(self, lacks):
        """Context in which the newest configuration lacks something."""
        with self._versions.exclusive():
            await self._operators[0].put_next(lacks=lacks)
            try:
                yield
            finally:
                await self._operators[0].put_next()

    # --- Callers -----------------------------------------------------------

    async def _run_caller(self, number):
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
                await self._send_requests(connection, ip, rng)
            connection.close()

    async def _send_requests(self, connection, ip, rng):
        """Sends requests on one connection until it closes or a maximum."""
        for _ in range(_MAX_REQUESTS_PER_CONNECTION):
            if self._ending:
                return
            boot = f"{ip}/{self.injector.boots[ip]}"
            version = 0
            kind = rng.choice(["once", "once", "safe", "stream", "version"])
            path = PATHS.get(kind)
            if path is None:
                version = rng.randint(1, self._versions.newest)
                kind, path = "safe", f"/v{version}/a"
            status, is_last = await self._send_request(
                connection, kind, path, ip
            )
            if version and boot == f"{ip}/{self.injector.boots[ip]}":
                self.history.version_seen(boot, version, status)
            if is_last:
                return
            await asyncio.sleep(rng.uniform(0, 0.1))

    async def _send_crashing_request(self, ip=""):
        """Sends a copy of the crashing request; returns the status."""
        ip = ip or self._crashing_rng.choice(ENTRY_IPS)
        request_id = f"s{self.seed}-{next(self._ids)}"
        request = RequestRecord("safe", entry=ip, crashes_as="crash")
        self.history.requests_by_id[request_id] = request
        request.status, _, _ = await self.deployment.call(
            ip, self.deployment.front, b"POST", PATHS["safe"], CRASH_MARKER,
            request_id=request_id, deadline_ms=self._deadline_ms,
            **self._versions.credential_fields,
        )  # fmt: skip
        return request.status

    async def _send_crashing_part(self, ip=""):
        """Sends a request, like no other one, with the crashing part."""
        ip = ip or self._parts_rng.choice(ENTRY_IPS)
        kind = self._parts_rng.choice(["safe", "stream"])
        ending = self._parts_rng.choice(list(CrashEnding))
        request_id = f"s{self.seed}-{next(self._ids)}"
        request = RequestRecord(kind, entry=ip, crashes_as=PART)
        self.history.requests_by_id[request_id] = request
        request.status, _, _ = await self.deployment.call(
            ip, self.deployment.front, b"POST", PATHS[kind],
            request_id.encode(), request_id=request_id,
            deadline_ms=self._deadline_ms, crash_ending=ending.value,
            prompt_prefix=f"a,b,{CRASHING_PART},{request_id}",
            **self._versions.credential_fields,
        )  # fmt: skip
        if request.status == 200:
            self.history.violations.append(
                f"{request_id} got a truncated answer ({ending.value}) as whole"
            )
        return request.status

    def _prompt_fields(self, request_id):
        """The prompt of a sound request, if requests have prompts."""
        if not has_parts(self.seed):
            return {}
        return {"prompt_prefix": f"a,b,{request_id}"}

    async def _send_request(self, connection, kind, path, entry):
        request_id = f"s{self.seed}-{next(self._ids)}"
        request = self.history.requests_by_id[request_id] = RequestRecord(
            kind, entry=entry, budget_s=self._deadline_ms / 1000
        )
        headers = [
            (b"host", b"h"), (b"request-id", request_id.encode()),
            (b"deadline-ms", b"%d" % self._deadline_ms),
        ]  # fmt: skip
        headers += self._versions.credential
        headers += [
            (b"prompt-prefix", prefix.encode())
            for prefix in self._prompt_fields(request_id).values()
        ]
        body = b"" if kind == "safe" else b"x" * 300
        method = b"GET" if kind == "safe" else b"POST"
        try:
            async with asyncio.timeout(request.budget_s + _EXTRA_WAIT_S):
                await connection.send(method, path.encode(), headers, body)
                head = await connection.read_head(lambda _: True)
                while part := await connection.read_part():
                    request.body += part
                request.complete = True
                request.status = head.status
        except CutShortError:
            request.status = head.status
            raise
        finally:
            self.history.answered(request_id)
        return request.status, head.value(b"connection") == "close"

    # --- Checks at the end -------------------------------------------------

    async def _check_recovered(self):
        """Checks that all entries serve, with the newest configuration."""
        ends_at = asyncio.get_running_loop().time() + _RECOVERY_S
        unrecovered = ["recovery was not checked"]
        while unrecovered and asyncio.get_running_loop().time() < ends_at:
            unrecovered = [message async for message in self._unrecovered()]
            await asyncio.sleep(0.2)
        self.history.violations += unrecovered

    async def _check_evacuated(self):
        """Checks that the last acknowledged evacuation is in effect."""
        if not has_evacuations(self.seed):
            return
        entries = itertools.cycle(ENTRY_IPS)
        await self._evacuating.check_evacuated(
            self.targets[0].name,
            lambda: self._send_on_new_connection(PATHS["safe"], next(entries)),
        )

    async def _check_quarantine(self):
        """Checks that entries refuse what crashes targets if quarantined."""
        for name, crash_count, send in (
            ("crash", _CRASHES_SURELY_QUARANTINED, self._send_crashing_request),
            (PART, _CRASHES_PART_SURELY_QUARANTINED, self._send_crashing_part),
        ):
            if len(self.history.crashes[name]) < crash_count:
                continue
            await asyncio.sleep(CONTACT_S)
            statuses = [await send(ip) for ip in 2 * ENTRY_IPS]
            if statuses != [503] * len(statuses):
                self.history.violations.append(
                    f"{name} not refused at the end: {statuses}"
                )

    async def _unrecovered(self):
        status, body = await self.deployment.operator(b"GET", "/api/config/get")
        if status != 200:
            yield f"configuration can't be read: status {status}"
        elif json.loads(body) != self._versions.values(self._versions.newest):
            yield "configuration read differs from the last acknowledged one"
        for ip in ENTRY_IPS:
            for path in (*PATHS.values(), f"/v{self._versions.newest}/a"):
                status = await self._send_on_new_connection(path, ip)
                if status != 200:
                    yield f"{ip} answers {path} with {status}"

    async def _send_on_new_connection(self, path, entry):
        """Sends a request on a new connection; returns the status."""
        request_id = f"s{self.seed}-{next(self._ids)}"
        kind = _KINDS_BY_PATH.get(path, "safe")
        request = self.history.requests_by_id[request_id] = RequestRecord(
            kind, entry=entry, budget_s=_DEADLINE_AT_END_MS / 1000
        )
        request.status, _, request.body = await self.deployment.call(
            entry, self.deployment.front, b"GET", path,
            request_id=request_id, deadline_ms=_DEADLINE_AT_END_MS,
            **self._versions.credential_fields,
            **self._prompt_fields(request_id),
        )  # fmt: skip
        request.complete = request.status != 0
        self.history.answered(request_id)
        return request.status
