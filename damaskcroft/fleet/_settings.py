"""Settings that one process receives when it starts."""

import dataclasses
import pathlib

__all__ = ["Bounds", "NodeSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Upper bounds of times and of retries that the deployment expects.

    Attributes:
        drain_s: from the acknowledgement that a target is leaving to the last
            request that reaches it.
        grace_s: from SIGTERM to SIGKILL.
        configuration_s: from the acknowledgement of a configuration until it is
            in effect.
        retry_ratio: retries allowed for each request, over all entries.
        retry_window_s: window in which retries are counted.
        retry_extra: retries allowed in a window beyond the ratio.
        weights_s: from the acknowledgement of a version of weights until no
            target begins a request on an older one.
        cold_ratio: requests that a cold target may get in a second, over all
            senders, for each that it bears.
        cold_extra: requests that it may get in a second beyond the ratio.
    """

    drain_s: float
    grace_s: float
    configuration_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    weights_s: float
    cold_ratio: float = 1.0
    cold_extra: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identity, addresses and bounds of one process of the fleet.

    Attributes:
        name: unique name of the machine.
        ip: address at which other machines reach this one.
        failure_domain: failure domain of the machine.
        region_by_domain: region of each failure domain.
        first_port: first port for internal traffic.
        last_port: last port for internal traffic.
        seeds: control addresses for the first contact; they may be stale.
        first_start: whether the whole fleet starts for the first time.
        data_folder: folder of persistent files; None on machines without a
            disk.
        caller_address: address for callers; empty in other roles.
        ready_address: address for the load balancer's readiness checks; empty
            in other roles.
        control_address: address for calls of targets and operators; may be
            empty.
        target_address: address of the target on this machine; may be empty.
        target_service: service of that target; may be empty.
        announce_every_s: interval of a target's announcements.
        link_mbps: bandwidth of the machine's link.
        max_files: maximum number of open file descriptors.
        bounds: bounds of the deployment.
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
        """The region of the failure domain of this process."""
        return self.region_by_domain.get(self.failure_domain, "")

    @property
    def rpc_address(self) -> str:
        """The address at which this process serves internal calls."""
        return f"{self.ip}:{self.first_port}"

    def rpc_address_at(self, address: str) -> str:
        """The address for internal calls of the process behind a seed."""
        host, _, _ = address.rpartition(":")
        return f"{host}:{self.first_port}"
