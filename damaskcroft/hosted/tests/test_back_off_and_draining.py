"""Targets that ask for back-off, or announce draining only in answers."""

import asyncio
import collections

import pytest

_BACK_OFF_S = 3
# Seven of ten targets have capacity. A request is refused only if both its
# attempts reach targets that have not yet asked its entry for back-off: two
# entries, three targets, two attempts each.
_MAX_REFUSED = 3
# Requests may be in flight to a target for this long after its first refusal.
_IN_FLIGHT_S = 0.5


def test_targets_that_ask_for_back_off_get_few_requests(with_fleet):
    async def scenario(fleet):
        async with fleet.background_load() as background:
            for target in fleet.targets[:3]:
                target.back_off_s = _BACK_OFF_S
            await asyncio.sleep(_BACK_OFF_S)
            for target in fleet.targets[:3]:
                target.back_off_s = None
        back_offs = fleet.history.back_offs
        most = max(
            len(fleet.history.arrivals_in_back_off(back_off))
            for back_off in back_offs
        )
        statuses = collections.Counter(outcome.status for outcome in background)
        print(f"most arrivals in a back-off {most}, others {statuses}")
        assert most <= 2
        refused = [outcome for outcome in background if outcome.status != 200]
        assert len(refused) <= _MAX_REFUSED
        assert 2 * len(refused) <= len(back_offs)
        for back_off in back_offs:
            first_at = min(
                other.at
                for other in back_offs
                if (other.entry, other.start)
                == (back_off.entry, back_off.start)
            )
            assert back_off.at - first_at < _IN_FLIGHT_S

    with_fleet(scenario)


@pytest.mark.parametrize("leaving", [2])
def test_targets_that_announce_draining_in_answers_get_no_requests(
    with_fleet, leaving
):
    async def scenario(fleet):
        async with fleet.background_load() as background:
            for target in fleet.targets[:leaving]:
                target.announces_leaving = True
            await asyncio.sleep(5)
        history = fleet.history
        late_counts = {
            key: len(history.arrivals_after_leaving(*key))
            for key in history.leaving_since
        }
        print(f"arrivals after leaving {late_counts}")
        assert history.leaving_since
        assert not any(late_counts.values())
        assert all(outcome.status == 200 for outcome in background)

    with_fleet(scenario)
