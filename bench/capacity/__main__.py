"""Runs parts of the measurements: ``python -m bench.capacity [NAME ...]``."""

import os
import sys

from bench.capacity import (
    burn,
    configuration,
    demand,
    dispatching,
    fleet,
    gossip,
    messages,
    placement,
    processes,
    table,
)
from bench.result import Result

BENCHMARKS = {
    "gossip": gossip,
    "messages": messages,
    "configuration": configuration,
    "fleet": fleet,
    "placement": placement,
    "demand": demand,
    "dispatching": dispatching,
    "table": table,
    "burn": burn,
    "processes": processes,
}


def _load_average(when: str) -> Result:
    return Result(
        name=f"load_average.{when}",
        value=os.getloadavg()[0],
        unit="processes over 1 min",
    )


def main() -> int:
    """Runs the named parts, or all; returns 2 for an unknown name."""
    names = sys.argv[1:] or list(BENCHMARKS)
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"no such part: {', '.join(unknown)}", file=sys.stderr)
        print(f"parts: {', '.join(BENCHMARKS)}", file=sys.stderr)
        return 2
    is_ok = True
    for name in names:
        print(_load_average(f"before.{name}").to_json(), flush=True)
        for result in BENCHMARKS[name].run():
            print(result.to_json(), flush=True)
            is_ok &= result.ok
    print(_load_average("after").to_json())
    return 0 if is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
