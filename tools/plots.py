"""Plots docs/burst.png from the results of `make bench`."""

import json
import pathlib

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

_ROOT = pathlib.Path(__file__).resolve().parent.parent


def _select_faultless(name: str) -> list[dict]:
    """Returns the measurements of a metric without faults, newest last."""
    lines = (_ROOT / "build" / "bench.jsonl").read_text().splitlines()
    measurements = [json.loads(line) for line in lines]
    return [
        m
        for m in measurements
        if m["name"] == name
        and not m["conditions"]["kill_share"]
        and not m["conditions"]["corrupt_every"]
        and m["conditions"]["policy"] == "fewest_origin_bytes"
    ]


def main() -> None:
    """Plots time by number of agents, and origin copies by strategy."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    times_by_strategy: dict[str, dict[int, float]] = {}
    for m in _select_faultless("burst.time_ratio"):
        times = times_by_strategy.setdefault(m["conditions"]["strategy"], {})
        times[m["conditions"]["agents"]] = m["value"]
    for strategy, times in sorted(times_by_strategy.items()):
        left.plot(
            *zip(*sorted(times.items()), strict=True), "o-", label=strategy
        )
    left.axhline(1.0, color="grey", linestyle=":", label="limit")
    left.set_xlabel("agents")
    left.set_ylabel("time / (size / link rate)")
    left.legend()
    copies_by_strategy = {
        m["conditions"]["strategy"]: m["value"]
        for m in _select_faultless("burst.origin_copies")
        if m["conditions"]["agents"] == 10
    }
    names = sorted(copies_by_strategy)
    right.bar(names, [copies_by_strategy[name] for name in names])
    right.set_ylabel("copies from the origin, 10 agents")
    figure.tight_layout()
    figure.savefig(_ROOT / "docs" / "burst.png", dpi=100)


if __name__ == "__main__":
    main()
