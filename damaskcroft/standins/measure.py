"""Benchmark measurements and resource usage of a process."""

import dataclasses
import os
import pathlib
from typing import Any

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """A measured value with its unit, baseline and conditions.

    Attributes:
        name: identifies the measurement across runs.
        value: the measured value.
        unit: unit of the value.
        baseline: value to compare with, in the same unit, or None.
        conditions: sizes, rates and injected faults of the run.
    """

    name: str
    value: float
    unit: str
    baseline: float | None
    conditions: dict[str, Any]

    def as_json(self) -> dict[str, Any]:
        """Returns the object that is written to build/bench.jsonl."""
        document = dataclasses.asdict(self)
        document["value"] = round(self.value, 4)
        return document


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resources used by a process.

    Attributes:
        cpu_s: processor time, user and system.
        resident_bytes: current resident set size.
        peak_bytes: peak resident set size.
    """

    cpu_s: float
    resident_bytes: int
    peak_bytes: int


def usage(pid: int) -> Usage:
    """Reads the usage of a process from /proc (proc(5))."""
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
    """Returns the median, as `percentile` selects it."""
    return percentile(values, 0.5)


def percentile(values: list[float], share: float) -> float:
    """Returns the sorted value at a share between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
