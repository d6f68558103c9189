"""Source of what an entry knows of the others that share the retry budget."""

from damaskcroft.fleet import Bounds, FleetView
from damaskcroft.limits import Senders
from damaskcroft.routing import FleetRetryBudget

__all__ = ["follow_retry_budget"]


def follow_retry_budget(
    view: FleetView, own_name: str, bounds: Bounds
) -> FleetRetryBudget:
    """Returns an entry's part of the retry budget, which follows a view.

    Args:
        view: the entry's view of the fleet.
        own_name: name of this entry.
        bounds: bounds of the deployment.
    """
    senders = Senders(
        own_name,
        view.entry_names.names,
        view.hears_majority,
        limit="retries",
        # Out of touch, an entry still retries a ratio of its own requests.
        reserve_divisor=None,
        window_s=bounds.retry_window_s,
    )
    return FleetRetryBudget(
        bounds.retry_ratio,
        bounds.retry_extra,
        bounds.retry_window_s,
        senders.share,
        lambda: len(senders.known),
    )
