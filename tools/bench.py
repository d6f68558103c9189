"""Runs the benchmarks and appends their results to build/bench.jsonl.

The file has one JSON object per line. Sections can be run alone, for instance
with `tools/bench.py burst`.
"""

import argparse
import json
import pathlib
import tempfile
import time
from collections.abc import Callable

from damaskcroft.standins import (
    bench_burst,
    bench_control,
    bench_requests,
    bench_slopes,
)
from damaskcroft.standins.measure import Measurement

_BUILD = pathlib.Path(__file__).resolve().parent.parent / "build"

_SECTIONS: dict[str, Callable[[pathlib.Path], list[Measurement]]] = {
    "requests": bench_requests.run,
    "control": bench_control.run,
    "burst": bench_burst.run,
    "slopes": bench_slopes.run,
}


def main() -> None:
    """Runs the requested sections, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sections", nargs="*", choices=[[], *_SECTIONS])
    arguments = parser.parse_args()
    _BUILD.mkdir(exist_ok=True)
    with (_BUILD / "bench.jsonl").open("a", encoding="utf-8") as output:
        for name in arguments.sections or list(_SECTIONS):
            started_at = time.monotonic()
            with tempfile.TemporaryDirectory("-damaskcroft") as folder:
                measurements = _SECTIONS[name](pathlib.Path(folder))
            for measurement in measurements:
                line = json.dumps(measurement.as_json())
                output.write(line + "\n")
                print(line, flush=True)
            print(f"{name}: {time.monotonic() - started_at:.0f} s")


if __name__ == "__main__":
    main()
