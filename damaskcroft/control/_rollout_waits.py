"""Tells what a rollout waits for, when it has stood still for a while."""

import dataclasses
from collections.abc import Callable

from damaskcroft._generated import records_pb2
from damaskcroft.clock import now_s
from damaskcroft.control._rollout import Wave
from damaskcroft.membership import held_up_word
from damaskcroft.observe import metrics

__all__ = ["RolloutWaits"]

# One target's turn takes a second or two where nothing is wrong.
_TOLD_AFTER_S = 5.0
_TOLD_EVERY_S = 10.0


@dataclasses.dataclass(slots=True)
class _Standstill:
    """One deployment's targets that have been changing for a while.

    Attributes:
        targets: who is waited for.
        since: when just these began to be.
        told_at: when that was told last.
    """

    targets: frozenset[str]
    since: float
    told_at: float = float("-inf")


class RolloutWaits:
    """What each deployment's rollout waits for, and whom it skips.

    Args:
        note: logs an event, and keeps it for operators' status.
    """

    def __init__(self, note: Callable[..., None]):
        """See the class."""
        self._note = note
        self._standstills_by_deployment: dict[str, _Standstill] = {}
        self._skipped_by_deployment: dict[str, frozenset[str]] = {}

    def look(self, deployment: records_pb2.Deployment, wave: Wave) -> None:
        """Takes one round's wave; to be called for each round."""
        self._tell_skipped(deployment, frozenset(wave.skipped))
        waited_for = frozenset(wave.waits_for)
        standstill = self._standstills_by_deployment.get(deployment.name)
        now = now_s()
        if standstill is None or standstill.targets != waited_for:
            standstill = _Standstill(waited_for, now)
            self._standstills_by_deployment[deployment.name] = standstill
        for_s = now - standstill.since if waited_for else 0.0
        metrics.ROLLOUT_WAITS_S.labels(deployment.name).set(for_s)
        if for_s < _TOLD_AFTER_S or now - standstill.told_at < _TOLD_EVERY_S:
            return
        standstill.told_at = now
        self._note(
            "rollout_waits",
            deployment=deployment.name,
            version=deployment.version,
            targets=",".join(sorted(waited_for)),
            reason=",".join(_reasons(wave)),
            for_s=for_s,
        )

    def _tell_skipped(
        self, deployment: records_pb2.Deployment, skipped: frozenset[str]
    ) -> None:
        before = self._skipped_by_deployment.get(deployment.name, frozenset())
        self._skipped_by_deployment[deployment.name] = skipped
        for target in sorted(skipped - before):
            self._note(
                "rollout_skips",
                deployment=deployment.name,
                version=deployment.version,
                target=target,
                reason="target_unreachable",
            )


def _reasons(wave: Wave) -> list[str]:
    return sorted({held_up_word(reason) for reason in wave.waits_for.values()})
