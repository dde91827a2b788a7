"""Runs the benchmarks."""

import itertools
import sys

from bench import chart_cost, recording


def main() -> int:
    """Runs the benchmarks; returns 1 if a bound was missed."""
    results = list(itertools.chain(chart_cost.run(), recording.run()))
    for result in results:
        print(result.to_json())
    return 0 if all(result.ok for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
