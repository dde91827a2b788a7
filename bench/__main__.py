"""Runs benchmarks: ``python -m bench [--short] [NAME ...]``."""

import sys
from collections.abc import Callable, Iterator

import click

from bench import (
    chart_cost,
    gateway,
    gossip,
    idle,
    plan_cost,
    prompt_cost,
    recording,
    relay,
    reports,
)
from bench.result import Result
from test.known_red import known_red

# Functions with the parameter ``short`` that yield results.
BENCHMARKS: dict[str, Callable[[bool], Iterator[Result]]] = {
    "chart_cost": lambda _short: chart_cost.run(),
    "recording": recording.run,
    "plan_cost": plan_cost.run,
    "prompt_cost": prompt_cost.run,
    "gateway": gateway.run,
    "gossip": gossip.run,
    "reports": reports.run,
    "idle": idle.run,
    "relay": relay.run,
}


@click.command()
@click.option(
    "--short", is_flag=True, help="Measure for a shorter time, as in CI."
)
@click.argument("names", nargs=-1, type=click.Choice(list(BENCHMARKS)))
def main(short: bool, names: tuple[str, ...]) -> None:
    """Runs the benchmarks NAMES, or all; fails if a bound is missed.

    Bounds that KNOWN-RED.txt names (lines ``bench: NAME``) may be missed.
    """
    missed = False
    red = known_red("bench")
    for name in names or BENCHMARKS:
        for result in BENCHMARKS[name](short):
            click.echo(result.to_json())
            if not result.ok and result.name in red:
                click.echo(f"known red: {result.name}")
            else:
                missed |= not result.ok
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
