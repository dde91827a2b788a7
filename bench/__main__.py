"""Runs benchmarks: ``python -m bench [--short] [NAME ...]``."""

import sys
from collections.abc import Callable, Iterator

import click

from bench import chart_cost, gossip, idle, recording, relay
from bench.result import Result

# Each takes whether it should be short, and yields its results.
BENCHMARKS: dict[str, Callable[[bool], Iterator[Result]]] = {
    "chart_cost": lambda _short: chart_cost.run(),
    "recording": recording.run,
    "gossip": gossip.run,
    "idle": idle.run,
    "relay": relay.run,
}


@click.command()
@click.option("--short", is_flag=True, help="Take at most 30 s, as in CI.")
@click.argument("names", nargs=-1, type=click.Choice(list(BENCHMARKS)))
def main(short: bool, names: tuple[str, ...]) -> None:
    """Runs the benchmarks NAMES, or all; fails if a bound is missed."""
    missed = False
    for name in names or BENCHMARKS:
        for result in BENCHMARKS[name](short):
            click.echo(result.to_json())
            missed |= not result.ok
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
