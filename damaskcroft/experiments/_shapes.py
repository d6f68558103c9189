"""Sizes of a fleet and of its load."""

import dataclasses

__all__ = [
    "EngineShape",
    "FleetShape",
    "Kind",
    "LoadShape",
    "saturation_per_s",
]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineShape:
    """How fast an engine works.

    It works in passes. In each it reads prompts, and those requests that it is
    writing get an event.

    Attributes:
        slots: requests that run at once.
        queued: requests beyond these that it takes.
        step_s: a token of every request that is written.
        step_s_per_request: and so much more for each of them.
        tokens_per_event: steps of a pass.
        read_tokens_s: how fast it reads prompts.
        read_tokens_per_step: at most, for each step of a pass.
    """

    slots: int = 12
    queued: int = 24
    step_s: float = 0.00673
    step_s_per_request: float = 0.000022
    tokens_per_event: int = 7
    read_tokens_s: float = 30_600.0
    read_tokens_per_step: int = 2048

    def writing_s(self, requests: int) -> float:
        """What a pass that writes for so many takes, without reading."""
        step_s = self.step_s + requests * self.step_s_per_request
        return self.tokens_per_event * step_s


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """Entries before engines.

    Attributes:
        entries: how many.
        engines: how many, all alike.
        engine: what each of them does.
        delay_s: one way between an entry and an engine.
    """

    entries: int = 15
    engines: int = 20
    engine: EngineShape = EngineShape()
    delay_s: float = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Requests that are alike.

    Attributes:
        name: for figures.
        weight: how many there are, beside other kinds.
        prompt_tokens: mean; drawn with a deviation of as much.
        events: of an answer, mean; likewise.
        priority: 0 is the most urgent.
    """

    name: str
    weight: float
    prompt_tokens: float
    events: float
    priority: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadShape:
    """Callers and what they ask for.

    Attributes:
        kinds: of requests.
        steps: from when on, in seconds, so many times what all engines carry
            is asked for.
        ends_s: when the last request is sent.
        goal_s: for the first event.
        deadline_s: of a request.
        returns: how often a caller that was refused comes back.
        skew: the busiest entry has so many times the callers of the least
            busy one.
    """

    kinds: tuple[Kind, ...] = (
        Kind("long", 0.4, 1300.0, 21.0),
        Kind("medium", 0.27, 800.0, 21.0),
        Kind("short", 0.33, 600.0, 10.0),
    )
    steps: tuple[tuple[float, float], ...] = ((0.0, 1.0),)
    ends_s: float = 20.0
    goal_s: float = 0.41
    deadline_s: float = 6.0
    returns: int = 1
    skew: float = 3.0

    def mean(self, attribute: str) -> float:
        """Mean of an attribute over all kinds."""
        total = sum(kind.weight for kind in self.kinds)
        return (
            sum(kind.weight * getattr(kind, attribute) for kind in self.kinds)
            / total
        )


def saturation_per_s(fleet: FleetShape, load: LoadShape) -> float:
    """Requests a second that engines answer while all slots are taken.

    A request holds its slot for the pass that reads it and one for each event.
    """
    engine = fleet.engine
    passes = load.mean("events") + 1
    read_s = load.mean("prompt_tokens") / engine.read_tokens_s
    pass_s = engine.writing_s(engine.slots) + engine.slots / passes * read_s
    return fleet.engines * engine.slots / (passes * pass_s)
