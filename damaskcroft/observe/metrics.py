"""Declares all metrics of the system with their meanings."""

from prometheus_client import REGISTRY, Counter, Gauge, Histogram

__all__ = [
    "ADMISSION_OUTSTANDING",
    "ADMISSION_QUEUED",
    "ANSWERS",
    "ANSWERS_DROPPED",
    "ANSWER_FIRST_S",
    "ANSWER_GAP_S",
    "ANSWER_QUEUED_S",
    "ANSWER_WHOLE_S",
    "BURST_BYTES",
    "BURST_CHUNKS_CORRUPT",
    "BURST_OUTSIDE_READS",
    "BURST_RECEIVERS_SILENT",
    "BURST_SOURCE_FAILURES",
    "BURST_YIELDS",
    "CLAIMS",
    "COMMIT_INDEX",
    "CONTROL_REFUSALS",
    "ELECTIONS",
    "COLD_REQUESTS",
    "COLD_TARGET_CHANGES",
    "EVACUATED_DOMAINS",
    "EVACUATION_ORDERS",
    "FIRST_TOKEN_S",
    "GATE_REFUSALS",
    "HEDGES",
    "HEDGES_NOT_ALLOWED",
    "HELD_BACK",
    "HOLDERS_LAPSED",
    "HTTP_FAULTS",
    "IDLE_CONNECTIONS_CLOSED",
    "IN_FORCE_S",
    "LEADERSHIP_TRANSFERS",
    "LEASE_LAPSES",
    "ORDERS",
    "ORDER_HELD_UP_S",
    "QUARANTINE",
    "QUEUE_WAIT_S",
    "REFUSALS",
    "RETRIES",
    "RETRIES_BEYOND_BUDGET",
    "RETRIES_IN_BUDGET",
    "RETRY_CONSTANT_SHARE",
    "ROLLOUT_WAITS_S",
    "SENDER_STANDINGS",
    "TARGETS_AVOIDED",
    "TARGETS_COLD",
    "TARGETS_FULL_TOGETHER",
    "TARGETS_LIMITED",
    "TARGET_CRASHES",
    "TARGET_LIMIT_CHANGES",
    "TASK_FAILURES",
    "TOKEN_GAP_S",
    "UNANSWERED",
    "WEIGHTS_WANTED",
    "idle_connections_closed",
]

_LATENCY_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
)  # fmt: skip

UNANSWERED = Counter(
    "damask_unanswered", "Requests read whole whose callers' connections ended "
    "before the answer was whole", ["ended_by", "reason"],
)  # fmt: skip
REFUSALS = Counter(
    "damask_refusals", "Requests refused to callers", ["reason", "ran"]
)
RETRIES = Counter(
    "damask_retries", "Attempts on another target, by the first's refusal",
    ["reason"],
)  # fmt: skip
RETRIES_IN_BUDGET = Counter(
    "damask_retries_in_budget", "Retries taken from the fleet's budget, by "
    "what paid for them", ["service", "source"],
)  # fmt: skip
RETRIES_BEYOND_BUDGET = Counter(
    "damask_retries_beyond_budget", "Retries refused for want of budget",
    ["service", "kind"],
)  # fmt: skip
RETRY_CONSTANT_SHARE = Gauge(
    "damask_retry_constant_share", "Retries in a window that this entry may "
    "take from the constant of the fleet's budget", ["service"],
)  # fmt: skip
HEDGES = Counter(
    "damask_hedges", "Second attempts for requests that were slow to be "
    "answered: begun, and how they ended", ["outcome"],
)  # fmt: skip
HEDGES_NOT_ALLOWED = Counter(
    "damask_hedges_not_allowed", "Slow requests without a second attempt",
    ["reason"],
)  # fmt: skip
TARGET_CRASHES = Counter(
    "damask_target_crashes", "Targets that crashed under requests of this "
    "entry, by what showed it", ["how"],
)  # fmt: skip
TARGETS_AVOIDED = Counter(
    "damask_targets_left_alone", "Targets that asked in an answer for rest, "
    "or said that they leave", ["why"],
)  # fmt: skip
TARGETS_LIMITED = Gauge(
    "damask_targets_limited", "Targets that name a limit of requests a second, "
    "or did some seconds ago",
)  # fmt: skip
TARGET_LIMIT_CHANGES = Counter(
    "damask_target_limit_changes", "Limits that targets named or lifted",
    ["change"],
)  # fmt: skip
TARGETS_COLD = Gauge(
    "damask_targets_cold", "Targets that are cold, as this entry knows",
)  # fmt: skip
COLD_TARGET_CHANGES = Counter(
    "damask_cold_target_changes", "Targets that became cold, or warm by their "
    "own report", ["change"],
)  # fmt: skip
COLD_REQUESTS = Counter(
    "damask_cold_requests", "Requests to targets with a limit for being cold, "
    "as sent, or withheld after a connection was opened", ["outcome"],
)  # fmt: skip
SENDER_STANDINGS = Counter(
    "damask_sender_standings", "Changes of what an entry knows of the entries "
    "that share a limit of the fleet", ["limit", "standing"],
)  # fmt: skip
EVACUATION_ORDERS = Counter(
    "damask_evacuation_orders", "Orders of operators to evacuate a failure "
    "domain or to end that, by outcome", ["order", "outcome"],
)  # fmt: skip
EVACUATED_DOMAINS = Gauge(
    "damask_evacuated_domains", "Failure domains whose targets get no request"
)
QUARANTINE = Counter(
    "damask_quarantine", "Decisions on requests that crash targets",
    ["decision"],
)  # fmt: skip
INVALID_ANNOUNCEMENTS = Counter(
    "damask_unusable_words", "Words of targets that changed nothing, by fault",
    ["kind", "reason"],
)  # fmt: skip
ANSWERS = Counter("damask_answers", "Whole answers given", ["kind"])
HTTP_FAULTS = Counter(
    "damask_http_faults", "Requests that met a fault of ours", ["error"]
)
IDLE_CONNECTIONS_CLOSED = Counter(
    "damask_idle_connections_closed",
    "Idle connections that we ended, and those that bytes crossed", ["how"],
)  # fmt: skip
ANSWERS_DROPPED = Counter(
    "damask_answers_dropped", "Late or crossed answers dropped", ["reason"]
)
HELD_BACK = Counter(
    "damask_held_back", "Requests that waited because the room was left to "
    "more urgent ones", ["priority"],
)  # fmt: skip
TARGETS_FULL_TOGETHER = Counter(
    "damask_targets_full_together", "Times at which a target seemed to have "
    "room but all targets together had none",
)  # fmt: skip
QUEUE_WAIT_S = Histogram(
    "damask_queue_wait_seconds", "Wait for a slot", ["priority"],
    buckets=_LATENCY_BUCKETS_S,
)  # fmt: skip
FIRST_TOKEN_S = Histogram(
    "damask_first_token_seconds", "Arrival to first body byte", ["priority"],
    buckets=_LATENCY_BUCKETS_S,
)  # fmt: skip
TOKEN_GAP_S = Histogram(
    "damask_token_gap_seconds",
    "Time between body pieces",
    buckets=_LATENCY_BUCKETS_S,
)
ANSWER_QUEUED_S = Histogram(
    "damask_answer_queued_seconds", "Arrival until a target's slot is had",
    ["service"], buckets=_LATENCY_BUCKETS_S,
)  # fmt: skip
ANSWER_FIRST_S = Histogram(
    "damask_answer_first_seconds", "Arrival until the caller has something",
    ["service"], buckets=_LATENCY_BUCKETS_S,
)  # fmt: skip
ANSWER_GAP_S = Histogram(
    "damask_answer_gap_seconds", "Longest pause in a streamed answer",
    ["service"], buckets=_LATENCY_BUCKETS_S,
)  # fmt: skip
ANSWER_WHOLE_S = Histogram(
    "damask_answer_whole_seconds", "Arrival until the answer is whole",
    ["service"], buckets=_LATENCY_BUCKETS_S,
)  # fmt: skip
ADMISSION_QUEUED = Gauge("damask_queued", "Requests waiting", ["pool"])
ADMISSION_OUTSTANDING = Gauge("damask_outstanding", "Requests running")
GATE_REFUSALS = Counter(
    "damask_gate_refusals", "Requests certified not run by an agent",
    ["reason"],
)  # fmt: skip
ROLLOUT_WAITS_S = Gauge(
    "damask_rollout_waits_seconds",
    "How long a rollout has waited for the same targets", ["deployment"],
)  # fmt: skip
TASK_FAILURES = Counter(
    "damask_task_failures",
    "Failures that nobody foresaw, after which work began again", ["task"],
)  # fmt: skip
ORDER_HELD_UP_S = Gauge(
    "damask_order_held_up_seconds",
    "How long the target's order has been held up now", ["reason"],
)  # fmt: skip
ORDERS = Counter(
    "damask_orders", "Orders given to the target", ["order", "outcome"]
)
LEASE_LAPSES = Counter(
    "damask_lease_lapses", "Times this process's lease ran out"
)
CLAIMS = Counter("damask_claims", "Claims answered", ["outcome"])
ELECTIONS = Counter("damask_elections", "Elections, by outcome", ["outcome"])
CONTROL_REFUSALS = Counter(
    "damask_control_refusals", "Changes and reads that this control node could "
    "not answer, by reason", ["call", "reason"],
)  # fmt: skip
LEADERSHIP_TRANSFERS = Counter(
    "damask_handovers", "Leaders that were to hand over, by outcome",
    ["outcome"],
)  # fmt: skip
COMMIT_INDEX = Gauge("damask_commit_index", "Last committed log index")
HOLDERS_LAPSED = Gauge("damask_holders_lapsed", "Known holders without a lease")
IN_FORCE_S = Histogram(
    "damask_in_force_seconds", "Accepted until every live holder applied it",
    buckets=_LATENCY_BUCKETS_S,
)  # fmt: skip
BURST_BYTES = Counter(
    "damask_burst_bytes", "Weight bytes by source; 'sent' to peers", ["source"]
)
BURST_CHUNKS_CORRUPT = Counter(
    "damask_burst_corrupt_chunks", "Chunks that failed their digest", ["source"]
)
BURST_OUTSIDE_READS = Counter(
    "damask_burst_outside_reads", "Chunks read from outside, by why, and "
    "whether another agent was known to hold them by then", ["reason", "copy"],
)  # fmt: skip
BURST_RECEIVERS_SILENT = Counter(
    "damask_burst_silent_receivers",
    "Chunks that were no longer sent, since nobody asked for their next part",
)
BURST_SOURCE_FAILURES = Counter(
    "damask_burst_source_failures", "Chunk attempts that failed", ["reason"]
)
BURST_YIELDS = Counter(
    "damask_burst_yields", "Times weight traffic slowed for live requests"
)
WEIGHTS_WANTED = Gauge(
    "damask_weights_wanted",
    "Version that this agent is to have beside its target; 0 for none",
)


def idle_connections_closed(how: str) -> int:
    """Returns this process's count of closed idle connections.

    Args:
        how: label of the counter.
    """
    name = "damask_idle_connections_closed_total"
    return int(REGISTRY.get_sample_value(name, {"how": how}) or 0)
