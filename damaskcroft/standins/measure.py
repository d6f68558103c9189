"""Measurements and what the kernel tells of a process."""

import dataclasses
import os
import pathlib
from typing import Any

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """One figure with what it needs to be understood.

    Attributes:
        name: fixed name.
        value: the figure.
        unit: its unit.
        baseline: what to compare it with, in the same unit, or None.
        conditions: sizes, rates and faults of the run.
    """

    name: str
    value: float
    unit: str
    baseline: float | None
    conditions: dict[str, Any]

    def as_json(self) -> dict[str, Any]:
        """As it is written to build/bench.jsonl."""
        document = dataclasses.asdict(self)
        document["value"] = round(self.value, 4)
        return document


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used.

    Attributes:
        cpu_s: processor time, user and system.
        resident_bytes: memory now resident.
        peak_bytes: most memory ever resident.
    """

    cpu_s: float
    resident_bytes: int
    peak_bytes: int


def usage(pid: int) -> Usage:
    """Reads /proc (proc(5)) for one of our processes."""
    folder = pathlib.Path(f"/proc/{pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    sizes_by_name = {}
    for line in (folder / "status").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            sizes_by_name[name] = int(rest.split()[0]) * _KIB
    return Usage(cpu_s, sizes_by_name["VmRSS"], sizes_by_name["VmHWM"])


def median(values: list[float]) -> float:
    """The middle value, the lower of two."""
    return percentile(values, 0.5)


def percentile(values: list[float], share: float) -> float:
    """The value at a share of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
