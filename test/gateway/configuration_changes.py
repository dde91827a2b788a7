"""Changes of the configuration that may meet a request in progress."""

from typing import Any

from standins.gateway_documents import engine_spec, gateway_route
from test.gateway.serving import configuration
from test.gateway.workspace_documents import entry

# Shorter than a silence, and than any stream.
SHORT_MS = 100

Change = dict[str, Any]


def _with_route(changed: str, **fields: Any) -> Change:
    return {
        "routes": [
            {**route, **fields} if route["prefix"] == changed else route
            for route in configuration()["routes"]
        ]
    }


def _without(field: str, value: str) -> Change:
    routes = configuration()["routes"]
    return {"routes": [one for one in routes if one[field] != value]}


def _split(prefix: str) -> Change:
    targets = [{"service": name, "weight": 1.0} for name in ("app", "llm")]
    return _with_route(prefix, **{"service": "", "traffic-split": targets})


def _with_engine(**fields: Any) -> Change:
    engine = engine_spec(("m1", "m2"), backups=True, handle_s=5.0)
    llm = {"name": "llm", "engine": {**engine, **fields}}
    return {"services": [{"name": "app"}, llm]}


LOWERED_LIMITS: Change = {
    "limits": {
        "idle-timeout-ms": SHORT_MS,
        "header-timeout-ms": SHORT_MS,
        "max-header-bytes": 400,
        "max-body-bytes": 4,
    }
}


def changes_of(prefix: str) -> list[Change]:
    """Returns changes that concern the streams of a route."""
    routes = configuration()["routes"]
    narrower = gateway_route(f"{prefix}x/", "streaming", "app")
    return [
        LOWERED_LIMITS,
        _with_route(prefix, **{"timeout-ms": 1}),
        _with_route(prefix, **{"timeout-ms": 50_000}),
        _with_route(prefix, **{"target-latency-ms": 1, "target-gap-ms": 1}),
        _with_route(prefix, **{"max-attempts": 1}),
        _with_route(prefix, **{"session-affinity": True}),
        _with_route(prefix, prefix="/other/"),
        _with_route(prefix, priority=5),
        _with_route(prefix, resumable=True),
        _with_route(prefix, kind="unsafe"),
        _with_route(prefix, service="app"),
        _split(prefix),
        {"routes": [*routes, narrower]},
        _without("prefix", prefix),
        {**_without("service", "llm"), "services": [{"name": "app"}]},
        {"services": [{"name": "app"}, {"name": "llm"}]},
        _with_engine(backups=False),
        _with_engine(models=[]),
        _with_engine(slots=1, **{"kv-capacity-tokens": 1, "weights-mb": 1}),
        {
            "routes": [{**route, "public": True} for route in routes],
            "tenants": [entry()],
        },
        {"routes": [], "services": []},
    ]
