"""Builders of the configuration that gateways read from the store."""

from collections.abc import Iterable
from typing import Any


def gateway_route(
    prefix: str, kind: str, service: str, **more: Any
) -> dict[str, Any]:
    """Returns a route of the host ``a.example``, named after its prefix."""
    return {
        "name": prefix.strip("/"),
        "host": "a.example",
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 5000,
        "target-latency-ms": 500,
        "max-attempts": 2,
        **more,
    }


def engine_spec(models: Iterable[str], **more: Any) -> dict[str, Any]:
    """Returns the specification shared by the engines of a service."""
    return {
        "slots": 4,
        "kv-capacity-tokens": 1000,
        "weights-mb": 100,
        "adapter-slots": 2,
        "loads-per-s": 10,
        "models": [{"name": name, "weights-mb": 40} for name in models],
        **more,
    }
