"""What one process is told about itself when it starts."""

import dataclasses
import pathlib

__all__ = ["Bounds", "NodeSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times within which the deployment expects things to happen.

    Attributes:
        drain_s: from the acknowledgement that a target is leaving to the
            last request that reaches it.
        grace_s: from SIGTERM to SIGKILL.
        configuration_s: from an acknowledged configuration to its effect.
        retry_ratio: repeats allowed for each request, over all entries.
        retry_window_s: window in which repeats are counted.
        retry_extra: repeats allowed in a window beyond the ratio.
        weights_s: from an acknowledged version of weights until no target
            begins on an older one.
    """

    drain_s: float
    grace_s: float
    configuration_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    weights_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """One process's place in the fleet.

    Attributes:
        name: unique name of the machine.
        ip: address that other machines reach this one by.
        failure_domain: what it fails together with.
        region_by_domain: region of each failure domain.
        first_port: first port for traffic between our own processes.
        last_port: last port for it.
        seeds: control addresses to find the others by; they may be stale.
        first_start: whether the whole fleet starts for the first time.
        data_folder: where files last; None on machines without a disk.
        caller_address: where callers connect; empty on other roles.
        ready_address: where the balancer asks; empty on other roles.
        control_address: where targets and operators call; or empty.
        target_address: the target beside this process; or empty.
        target_service: the service of that target; or empty.
        announce_every_s: time between a target's announcements.
        link_mbps: rate of the machine's own link.
        max_files: descriptors this process may hold.
        bounds: times of the deployment.
    """

    name: str
    ip: str
    failure_domain: str
    region_by_domain: dict[str, str]
    first_port: int
    last_port: int
    seeds: tuple[str, ...]
    first_start: bool
    data_folder: pathlib.Path | None
    caller_address: str
    ready_address: str
    control_address: str
    target_address: str
    target_service: str
    announce_every_s: float
    link_mbps: float
    max_files: int
    bounds: Bounds

    @property
    def region(self) -> str:
        """The region of this process's failure domain."""
        return self.region_by_domain.get(self.failure_domain, "")

    @property
    def rpc_address(self) -> str:
        """Where this process serves calls of our other processes."""
        return f"{self.ip}:{self.first_port}"

    def rpc_address_at(self, address: str) -> str:
        """Where the process behind a seed serves our calls."""
        host, _, _ = address.rpartition(":")
        return f"{host}:{self.first_port}"
