"""Reports which targets a stalled rollout waits for.

Otherwise a target that cannot change its version stops the rollout without a
trace in the log.
"""

import dataclasses
from collections.abc import Callable

from damaskcroft._generated import records_pb2
from damaskcroft.clock import now_s
from damaskcroft.control._rollout import Wave
from damaskcroft.membership import held_up_reason
from damaskcroft.observe import metrics

__all__ = ["RolloutWaitReporter"]

# Changing one target takes a second or two under normal conditions.
_REPORT_AFTER_S = 5.0
_REPORT_INTERVAL_S = 10.0


@dataclasses.dataclass(slots=True)
class _Stall:
    """A period in which a deployment waits for the same targets.

    Attributes:
        targets: ids of the targets that are still changing.
        started_at: when the deployment began to wait for exactly these.
        reported_at: when the stall was last reported.
    """

    targets: frozenset[str]
    started_at: float
    reported_at: float = float("-inf")


class RolloutWaitReporter:
    """Reports stalls and skipped targets of each deployment's rollout.

    Args:
        record_event: logs an event and keeps it for the status that operators
            read.
    """

    def __init__(self, record_event: Callable[..., None]):
        """Starts without a wave of any deployment."""
        self._record_event = record_event
        self._stall_by_deployment: dict[str, _Stall] = {}
        self._skipped_by_deployment: dict[str, frozenset[str]] = {}

    def report_wave(
        self, deployment: records_pb2.Deployment, wave: Wave
    ) -> None:
        """Processes the wave of one round; must be called in every round."""
        self._report_skipped(deployment, frozenset(wave.skipped))
        pending = frozenset(wave.held_up_by_target)
        stall = self._stall_by_deployment.get(deployment.name)
        now = now_s()
        if stall is None or stall.targets != pending:
            stall = _Stall(pending, now)
            self._stall_by_deployment[deployment.name] = stall
        for_s = now - stall.started_at if pending else 0.0
        metrics.ROLLOUT_WAITS_S.labels(deployment.name).set(for_s)
        if (
            for_s < _REPORT_AFTER_S
            or now - stall.reported_at < _REPORT_INTERVAL_S
        ):
            return
        stall.reported_at = now
        self._record_event(
            "rollout_waits",
            deployment=deployment.name,
            version=deployment.version,
            targets=",".join(sorted(pending)),
            reason=",".join(_reasons(wave)),
            for_s=for_s,
        )

    def _report_skipped(
        self, deployment: records_pb2.Deployment, skipped: frozenset[str]
    ) -> None:
        previous = self._skipped_by_deployment.get(deployment.name, frozenset())
        self._skipped_by_deployment[deployment.name] = skipped
        for target in sorted(skipped - previous):
            self._record_event(
                "rollout_skips",
                deployment=deployment.name,
                version=deployment.version,
                target=target,
                reason="target_unreachable",
            )


def _reasons(wave: Wave) -> list[str]:
    return sorted(
        {held_up_reason(reason) for reason in wave.held_up_by_target.values()}
    )
