"""Runs the benchmarks."""

import sys

from bench import chart_cost


def main() -> int:
    """Runs the benchmarks; returns 1 if a bound was missed."""
    results = list(chart_cost.run())
    for result in results:
        print(result.to_json())
    return 0 if all(result.ok for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
