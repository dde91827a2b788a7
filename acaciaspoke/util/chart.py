"""Interpreter of the state charts in ``acaciaspoke/charts``.

A chart is a flat sismic YAML file. sismic parses and validates it once. A
transition is then a dictionary lookup, which is cheap enough for the request
path.
"""

import functools
from collections.abc import Mapping
from enum import Enum
from importlib import resources
from typing import Generic, NamedTuple, TypeVar

from sismic.io import import_from_yaml

from acaciaspoke.errors import AcaciaspokeError

StateT = TypeVar("StateT", bound=Enum)


class ChartError(AcaciaspokeError):
    """The current state does not accept an event, or a chart is invalid."""


class Transition(NamedTuple):
    """The key of a transition: its source state and event."""

    source: str
    event: str


class Chart(NamedTuple):
    """A parsed chart."""

    name: str
    initial: str
    states: frozenset[str]
    targets: Mapping[Transition, str]


@functools.cache
def load_chart(name: str) -> Chart:
    """Loads and validates the chart ``charts/NAME.yaml``.

    Raises:
        ChartError: If the file is missing or is not a valid chart.
    """
    source = resources.files("acaciaspoke") / "charts" / f"{name}.yaml"
    try:
        parsed = import_from_yaml(source.read_text(encoding="utf-8"))
    except Exception as error:  # sismic raises errors of many types
        raise ChartError(f"chart {name}: {error}") from error
    return Chart(
        name=name,
        initial=parsed.state_for(parsed.root).initial,
        states=frozenset(parsed.children_for(parsed.root)),
        targets={
            Transition(item.source, item.event): item.target or item.source
            for item in parsed.transitions
        },
    )


class StateMachine(Generic[StateT]):
    """One instance of a chart with its current state."""

    def __init__(self, chart_name: str, states: type[StateT]):
        """Starts in the chart's initial state.

        Raises:
            ChartError: If the chart and ``states`` name different states.
        """
        self._chart = load_chart(chart_name)
        self._states = states
        names = {state.value for state in states}
        if names != self._chart.states:
            raise ChartError(
                f"chart {chart_name} has states {sorted(self._chart.states)},"
                f" the code {sorted(names)}"
            )
        self.state: StateT = states(self._chart.initial)

    def accepts(self, event: str) -> bool:
        """Returns whether the current state has a transition for ``event``."""
        return Transition(self.state.value, event) in self._chart.targets

    def send(self, event: str) -> StateT:
        """Takes the transition for ``event`` and returns the new state.

        Raises:
            ChartError: If the current state does not accept the event.
        """
        target = self._chart.targets.get(Transition(self.state.value, event))
        if target is None:
            raise ChartError(
                f"chart {self._chart.name}: state {self.state.value} does not"
                f" accept {event}"
            )
        self.state = self._states(target)
        return self.state
