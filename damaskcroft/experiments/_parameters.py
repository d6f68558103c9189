"""Parameters of simulated engines, fleets and loads."""

import dataclasses

__all__ = [
    "EngineParameters",
    "FleetParameters",
    "LoadParameters",
    "RequestKind",
    "saturation_per_s",
]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineParameters:
    """Capacity and speed of an engine.

    An engine works in passes. Each pass prefills prompts and writes one event
    of every request that is being decoded.

    Attributes:
        slots: requests that run at once.
        queued: requests accepted beyond the running ones.
        step_s: base time of a decoding step, one token of every request.
        step_s_per_request: additional time of a step for each request.
        tokens_per_event: decoding steps of a pass.
        prefill_tokens_per_s: prompt tokens prefilled per second.
        max_prefill_tokens_per_step: most prompt tokens prefilled per
            step of a pass.
        slow_share: share of the time in which work takes `slow_factor` times as
            long, because of other work on the same machine.
        slow_factor: how much longer it takes then.
        slow_s: length of such a period.
    """

    slots: int = 12
    queued: int = 24
    step_s: float = 0.00673
    step_s_per_request: float = 0.000022
    tokens_per_event: int = 7
    prefill_tokens_per_s: float = 30_600.0
    max_prefill_tokens_per_step: int = 2048
    slow_share: float = 0.0
    slow_factor: float = 2.5
    slow_s: float = 0.6

    def decode_time_s(self, requests: int) -> float:
        """Returns the time of a pass that decodes one event of each request."""
        step_s = self.step_s + requests * self.step_s_per_request
        return self.tokens_per_event * step_s


@dataclasses.dataclass(frozen=True, slots=True)
class FleetParameters:
    """Sizes of a fleet.

    Attributes:
        entries: number of entries.
        engines: number of engines, all alike.
        engine: parameters of each engine.
        delay_s: one-way delay between an entry and an engine.
    """

    entries: int = 15
    engines: int = 20
    engine: EngineParameters = EngineParameters()
    delay_s: float = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of similar requests.

    Attributes:
        name: label in results.
        weight: relative frequency.
        prompt_tokens: mean; the standard deviation equals the mean.
        events: mean events of an answer, with the same relative deviation.
        priority: 0 is the most urgent.
        latency_objective_s: latency objective for the first event; 0 for that
            of the load.
    """

    name: str
    weight: float
    prompt_tokens: float
    events: float
    priority: int = 1
    latency_objective_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadParameters:
    """Arrival process and behaviour of callers.

    Attributes:
        kinds: classes of requests.
        steps: pairs of a start time in seconds and the load from then on,
            relative to the saturation rate of all engines.
        ends_s: time at which arrivals end.
        latency_objective_s: latency objective for the first event.
        deadline_s: deadline of a request.
        max_retries: most retries of a refused caller.
        skew: ratio of callers of the busiest entry to those of the least
            busy one.
    """

    kinds: tuple[RequestKind, ...] = (
        RequestKind("long", 0.4, 1300.0, 21.0),
        RequestKind("medium", 0.27, 800.0, 21.0),
        RequestKind("short", 0.33, 600.0, 10.0),
    )
    steps: tuple[tuple[float, float], ...] = ((0.0, 1.0),)
    ends_s: float = 20.0
    latency_objective_s: float = 0.41
    deadline_s: float = 6.0
    max_retries: int = 1
    skew: float = 3.0

    def mean(self, attribute: str) -> float:
        """Returns the weighted mean of an attribute over all kinds."""
        total = sum(kind.weight for kind in self.kinds)
        return (
            sum(kind.weight * getattr(kind, attribute) for kind in self.kinds)
            / total
        )


def saturation_per_s(fleet: FleetParameters, load: LoadParameters) -> float:
    """Returns the requests per second answered while all slots are in use.

    A request holds its slot for one prefill pass and one pass for each event.
    """
    engine = fleet.engine
    passes = load.mean("events") + 1
    read_s = load.mean("prompt_tokens") / engine.prefill_tokens_per_s
    pass_s = engine.decode_time_s(engine.slots) + engine.slots / passes * read_s
    return fleet.engines * engine.slots / (passes * pass_s)
