"""One entry's share of the requests to targets that are cold.

A target is cold for some seconds after its start, and may become so again. It
then bears a rate of requests over all entries together, and may crash above it.
That is the load when a failure domain comes back at once, or many targets are
added, while callers ask for more than the others can serve.

The limit holds in any second, so requests are counted in a sliding window, and
before a target is known to be cold too. An entry out of touch doesn't learn
that a target turns cold: all targets of such a service are limited for it.
"""

import math
from collections.abc import Callable, Collection

from damaskcroft.clock import now_s
from damaskcroft.limits._send_window import SendWindow
from damaskcroft.limits._senders import Senders
from damaskcroft.observe import log_event, metrics

__all__ = ["ColdTargets"]

# After a target was cold, the limit doubles at once and each second after that,
# for this time, so that not all entries turn to an empty target together.
_RAMP_S = 3.0
_RAMP_DOUBLING_S = 1.0
# Requests to one target in a second to which a limit is lowered. No target
# runs that many: a larger number is a mistake.
_MAX_REQUESTS = 10_000
# A target counts as cold for this time if it reports no valid one.
_DEFAULT_COLD_S = 5.0
# Requests are served again after this time while control's first reports are
# due: most entries have them within a tenth of a second.
_REPORTS_POLL_S = 0.1
# Some entry may send to a cold target after this time, even if this one has no
# share: the length of the window.
_OTHERS_RETRY_S = 1.0


class _Target:
    """One start of a target.

    Attributes:
        service: its service.
        failure_domain: its failure domain.
        cold_until: loop time at which it stops being cold.
        after_start_until: loop time until which it is cold because it has
            started, even if it reports otherwise.
        window: the requests that were sent to it.
    """

    __slots__ = (
        "after_start_until",
        "cold_until",
        "failure_domain",
        "service",
        "window",
    )

    def __init__(self, service: str, failure_domain: str):
        self.service = service
        self.failure_domain = failure_domain
        self.cold_until = -math.inf
        self.after_start_until = -math.inf
        self.window = SendWindow()


class ColdTargets:
    """Enforces this entry's share of what cold targets bear.

    Args:
        senders: the entries that share it.
        max_requests_by_service: returns, for the services whose targets have a
            limit while cold, the requests that one of them bears in a second.
        evacuated_domains: returns the failure domains that get no request.
        news_delay_s: time until an entry in touch learns that a target has
            become cold. After an evacuation, targets are cold for this time.
    """

    def __init__(
        self,
        senders: Senders,
        max_requests_by_service: Callable[[], dict[str, float]],
        evacuated_domains: Callable[[], frozenset[str]] = frozenset,
        news_delay_s: float = 0.0,
    ):
        """Starts without targets."""
        self._senders = senders
        self._max_requests_by_service = max_requests_by_service
        self._evacuated_domains = evacuated_domains
        self._seen_domains = evacuated_domains()
        self._news_delay_s = news_delay_s
        self._targets_by_start: dict[str, _Target] = {}
        # Loop time at which the last limit ends.
        self._limited_until = -math.inf

    # --- What targets report --------------------------------------------------

    def record_report(
        self,
        start_id: str,
        service: str,
        failure_domain: str,
        cold_s: float,
        cold_after_start_s: float = 0.0,
    ) -> None:
        """Records how much longer a target is cold.

        Args:
            start_id: id of the target's start.
            service: its service.
            failure_domain: its failure domain.
            cold_s: what it reports.
            cold_after_start_s: what follows from the time of its start; counts
                when the start is first seen.
        """
        cold_s = _valid_s(cold_s)
        target = self._targets_by_start.get(start_id)
        if target is None:
            target = _Target(service, failure_domain)
            self._targets_by_start[start_id] = target
            target.after_start_until = now_s() + _valid_s(cold_after_start_s)
        target.service = service
        target.failure_domain = failure_domain
        after_start_s = target.after_start_until - now_s()
        self._set_cold(start_id, target, max(cold_s, after_start_s))

    def retain_only(self, start_ids: Collection[str]) -> None:
        """Drops targets that are gone, and counts those that are cold."""
        for start in self._targets_by_start.keys() - set(start_ids):
            del self._targets_by_start[start]
        if not self._max_requests_by_service():
            return
        self._senders.refresh()
        now = now_s()
        self._limited_until = max(
            (t.cold_until + _RAMP_S for t in self._targets_by_start.values()),
            default=-math.inf,
        )
        metrics.TARGETS_COLD.set(
            sum(
                target.cold_until > now
                for target in self._targets_by_start.values()
            )
        )

    def _set_cold(self, start_id: str, target: _Target, cold_s: float) -> None:
        now = now_s()
        was_cold = target.cold_until > now
        if cold_s or was_cold:
            target.cold_until = now + cold_s
            self._limited_until = max(
                self._limited_until, target.cold_until + _RAMP_S
            )
        is_cold = cold_s > 0
        if was_cold == is_cold or not self._is_bounded(target.service):
            return
        log_event(
            "target_cold" if is_cold else "target_warm",
            target=start_id,
            service=target.service,
            cold_s=round(cold_s, 3),
            requests=self._max_requests(start_id, target),
        )
        metrics.COLD_TARGET_CHANGES.labels("cold" if is_cold else "warm").inc()

    def _note_returned_domains(self) -> None:
        """Takes the targets of returned failure domains for cold.

        They may have become cold just before, and the news of it may arrive
        after that of the end of the evacuation.
        """
        domains = self._evacuated_domains()
        if domains is self._seen_domains:
            return
        returned = self._seen_domains - domains
        self._seen_domains = domains
        now = now_s()
        for start_id, target in self._targets_by_start.items():
            if target.failure_domain in returned:
                left_s = max(self._news_delay_s, target.cold_until - now)
                self._set_cold(start_id, target, left_s)

    # --- Decisions ------------------------------------------------------------

    @property
    def is_active(self) -> bool:
        """Whether any target may be limited now; a constant-time check."""
        if not self._max_requests_by_service():
            return False
        self._note_returned_domains()
        if not self._senders.is_in_touch:
            return True
        return now_s() < self._limited_until

    def time_to_send_s(self, start_id: str) -> float:
        """Returns the time until this entry may send a target a request.

        Returns:
            Seconds; 0 if it may now. Infinite if it has no share while the
            target may be cold for an unknown time.
        """
        target = self._targets_by_start.get(start_id)
        if target is None:
            return 0.0
        max_requests = self._max_requests(start_id, target)
        if math.isinf(max_requests):
            return 0.0
        wait_s = target.window.wait_s(int(max_requests))
        if not max_requests and self._senders.awaits_reports:
            return _REPORTS_POLL_S
        if not self._senders.is_in_touch:
            return wait_s
        limited_until = target.cold_until + (0 if max_requests else _RAMP_S)
        limited_s = limited_until - now_s()
        return min(wait_s, limited_s) if limited_s > 0 else wait_s

    def share_s(self, start_id: str) -> float:
        """Returns this entry's requests a second; infinite without a limit."""
        target = self._targets_by_start.get(start_id)
        if target is None:
            return math.inf
        return self._max_requests(start_id, target)

    def retry_in_s(self, start_id: str) -> float:
        """Predicts the time until a target accepts a request of any entry."""
        time_to_send_s = self.time_to_send_s(start_id)
        if self.share_s(start_id):
            return time_to_send_s
        return min(time_to_send_s, _OTHERS_RETRY_S)

    def count_request(self, start_id: str) -> None:
        """Counts a request for which a slot was taken."""
        target = self._targets_by_start.get(start_id)
        if target is not None and self._is_bounded(target.service):
            target.window.add()

    def may_be_dispatched(self, start_id: str, since: float) -> bool:
        """Whether a request may be sent whose slot was taken at a given time.

        From now on it counts at the time of this call: connecting may have
        taken long, and the target may have become cold meanwhile.

        Args:
            start_id: id of the target's start.
            since: loop time at which the slot was taken.
        """
        target = self._targets_by_start.get(start_id)
        if target is None or not self._is_bounded(target.service):
            return True
        target.window.remove(since)
        if self.is_active and self.time_to_send_s(start_id) > 0:
            metrics.COLD_REQUESTS.labels("withheld").inc()
            return False
        target.window.add()
        if math.isfinite(self._max_requests(start_id, target)):
            metrics.COLD_REQUESTS.labels("sent").inc()
        return True

    def _is_bounded(self, service: str) -> bool:
        return service in self._max_requests_by_service()

    def _max_requests(self, start_id: str, target: _Target) -> float:
        """Requests of this entry in any second; infinite without a limit."""
        for_all = self._max_requests_by_service().get(target.service)
        if for_all is None:
            return math.inf
        if self._senders.is_in_touch:
            warm_s = now_s() - target.cold_until
            if warm_s >= _RAMP_S:
                return math.inf
            if warm_s >= 0:
                for_all *= 2 ** (1 + warm_s // _RAMP_DOUBLING_S)
        bound = int(min(for_all, _MAX_REQUESTS))
        return self._senders.share(start_id, bound)


def _valid_s(cold_s: float) -> float:
    """A time that a target reports, or the default if it is invalid."""
    is_valid = math.isfinite(cold_s) and cold_s >= 0
    return cold_s if is_valid else _DEFAULT_COLD_S
