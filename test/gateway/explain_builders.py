"""Builders for the tests of explanations."""

from collections import deque
from collections.abc import Mapping, Set

import msgspec

from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.types import CallerLimits, Configuration, Workspace
from acaciaspoke.ids import ConfigVersion, UpstreamId, WorkspaceId


def workspaces(*names: str) -> Configuration:
    """Returns a configuration with workspaces."""
    return Configuration(
        version=ConfigVersion(1),
        routes=(),
        services={},
        limits=CallerLimits(),
        workspaces=tuple(
            Workspace(name=WorkspaceId(name), key_digests=frozenset())
            for name in names
        ),
    )


def limit(dispatcher: Dispatcher, name: str, now_s: float) -> None:
    """Has an upstream limit the requests that it takes."""
    dispatcher.fleet.limits.record_limit(UpstreamId(name), 1, 5.0, now_s)


def state_of(root: object) -> dict[str, str]:
    """Returns the values that can be reached from an object, by path.

    Each object counts once; callbacks are left out.
    """
    values: dict[str, str] = {}
    seen: set[int] = set()

    def walk(path: str, value: object) -> None:
        if callable(value):
            return
        if isinstance(value, Set):
            values[path] = repr(sorted(map(repr, value)))
            return
        children = _children_of(value)
        if children is None:
            values[path] = repr(value)
        elif id(value) not in seen:
            seen.add(id(value))
            values[path] = f"{len(children)} of {type(value).__name__}"
            for name, child in children.items():
                walk(f"{path}.{name}", child)

    walk("", root)
    return values


def _children_of(value: object) -> dict[object, object] | None:
    if isinstance(value, Mapping):
        return dict(value)
    if isinstance(value, (list, tuple, deque)):
        return dict(enumerate(value))
    if isinstance(value, msgspec.Struct):
        return {name: getattr(value, name) for name in value.__struct_fields__}
    if type(value).__module__.startswith("acaciaspoke"):
        return getattr(value, "__dict__", None)
    return None
