"""Which targets can answer for a model or a plain service now."""

import dataclasses
import math

from damaskcroft.membership import Roster
from damaskcroft.records import models_on_record


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One target that takes requests, as the roster tells.

    Attributes:
        id: its agent's id.
        incarnation: its agent process.
        address: its agent's gRPC address.
        region: its district.
        slots: requests it runs at once.
        manifest: the version it serves; empty for a plain service.
    """

    id: str
    incarnation: str
    address: str
    region: str
    slots: int
    manifest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Targets that answer for one name."""

    name: str
    targets: tuple[Target, ...]
    slots: int


class PoolTable:
    """Pools by name, rebuilt when the roster changes.

    A pool's slots are this entry's share: all slots, split evenly between the
    entries that hold a lease.
    """

    def __init__(self, roster: Roster):
        """Reads from `roster`."""
        self._roster = roster
        self._pools_by_name: dict[str, Pool] = {}
        self._announced_services: set[str] = set()
        self._models_on_record: set[str] = set()
        self._names_revision = 0

    async def run(self) -> None:
        """Follows the roster until cancelled."""
        while True:
            self.rebuild()
            async with self._roster.changed:
                await self._roster.changed.wait()

    def pool(self, name: str) -> Pool:
        """The pool of a model or service; empty when none serves it."""
        return self._pools_by_name.get(name, Pool(name, (), 0))

    def is_known(self, name: str) -> bool:
        """Whether any target or record speaks of a name.

        A service whose targets are all away is known, and so is a model that
        no target has yet: whoever asks for it should come back.
        """
        if name in self._pools_by_name or name in self._announced_services:
            return True
        model = name.split(":", 1)[0]
        if model in self._models_on_record:
            return True
        return any(
            assignment.model == model
            for assignment in self._roster.assignments_by_target.values()
        )

    def find(self, target_id: str) -> Target | None:
        """A target of any pool, by its id."""
        for pool in self._pools_by_name.values():
            for target in pool.targets:
                if target.id == target_id:
                    return target
        return None

    def rebuild(self) -> None:
        """Reads the roster anew."""
        self._rebuild_names()
        targets_by_name: dict[str, list[Target]] = {}
        for agent in self._roster.live_agents():
            report = self._roster.reports_by_id.get(agent.id)
            if report is None or report.incarnation != agent.incarnation:
                continue
            if report.draining:
                continue
            if not agent.service and not report.manifest:
                continue
            name = agent.service or report.model
            targets_by_name.setdefault(_pool_name(agent.service, name), [])
            targets_by_name[_pool_name(agent.service, name)].append(
                Target(
                    agent.id,
                    agent.incarnation,
                    agent.address,
                    agent.region,
                    agent.slots,
                    report.manifest,
                )
            )
        entries = self._roster.live_entries()
        self._pools_by_name = {
            name: Pool(
                name,
                tuple(sorted(targets, key=lambda t: t.id)),
                math.ceil(sum(t.slots for t in targets) / entries),
            )
            for name, targets in targets_by_name.items()
        }

    def _rebuild_names(self) -> None:
        """Names that don't hang on who serves now; reports don't change."""
        if self._names_revision == self._roster.revision:
            return
        self._names_revision = self._roster.revision
        self._announced_services = {
            service_pool(holder.service)
            for holder in self._roster.holders_by_id.values()
            if holder.service
        }
        self._models_on_record = models_on_record(
            self._roster.records_by_key.values()
        )


def _pool_name(service: str, name: str) -> str:
    # A model and a service may share a name without meeting.
    return service_pool(name) if service else name


def service_pool(service: str) -> str:
    """The pool name of a plain service."""
    return f"service/{service}"
