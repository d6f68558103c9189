"""Pools: the targets that can answer for a model or a plain service now."""

import dataclasses
import math

from damaskcroft.membership import Roster
from damaskcroft.records import deployed_models


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One target that accepts requests, according to the roster.

    Attributes:
        id: id of its agent.
        incarnation: incarnation of its agent's process.
        address: gRPC address of its agent.
        region: its district.
        slots: number of requests that it runs at once.
        manifest: the version that it serves; empty for a plain service.
    """

    id: str
    incarnation: str
    address: str
    region: str
    slots: int
    manifest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Targets that answer for one model or service."""

    name: str
    targets: tuple[Target, ...]
    slots: int


class PoolTable:
    """Pools by name, rebuilt when the roster changes.

    A pool's slots are this entry's share: all slots of its targets, split
    evenly between the entries that hold a lease.
    """

    def __init__(self, roster: Roster):
        """Starts empty; the pools are built from `roster`."""
        self._roster = roster
        self._pools_by_name: dict[str, Pool] = {}
        self._announced_services: set[str] = set()
        self._deployed_models: set[str] = set()
        self._names_revision = 0

    async def run(self) -> None:
        """Rebuilds the pools at each change of the roster, until cancelled."""
        while True:
            self.rebuild()
            async with self._roster.changed:
                await self._roster.changed.wait()

    def pool(self, name: str) -> Pool:
        """Returns the pool of a model or service; empty if none serves it."""
        return self._pools_by_name.get(name, Pool(name, (), 0))

    def is_known(self, name: str) -> bool:
        """Whether any target, assignment or record contains a name.

        A service whose targets are all gone is known, and so is a model that no
        target has loaded yet: callers that request it should retry.
        """
        if name in self._pools_by_name or name in self._announced_services:
            return True
        model = name.split(":", 1)[0]
        if model in self._deployed_models:
            return True
        return any(
            assignment.model == model
            for assignment in self._roster.assignments_by_target.values()
        )

    def find(self, target_id: str) -> Target | None:
        """Returns a target of any pool by its id; None if there is none."""
        for pool in self._pools_by_name.values():
            for target in pool.targets:
                if target.id == target_id:
                    return target
        return None

    def rebuild(self) -> None:
        """Rebuilds the pools from the roster."""
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
        entries = self._roster.count_live_entries()
        self._pools_by_name = {
            name: Pool(
                name,
                tuple(sorted(targets, key=lambda t: t.id)),
                math.ceil(sum(t.slots for t in targets) / entries),
            )
            for name, targets in targets_by_name.items()
        }

    def _rebuild_names(self) -> None:
        """Updates names that don't depend on reports, at a new revision."""
        if self._names_revision == self._roster.revision:
            return
        self._names_revision = self._roster.revision
        self._announced_services = {
            service_pool(holder.service)
            for holder in self._roster.holders_by_id.values()
            if holder.service
        }
        self._deployed_models = deployed_models(
            self._roster.records_by_key.values()
        )


def _pool_name(service: str, name: str) -> str:
    # The prefix keeps a model and a service of the same name apart.
    return service_pool(name) if service else name


def service_pool(service: str) -> str:
    """Returns the pool name of a plain service."""
    return f"service/{service}"
