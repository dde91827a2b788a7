"""The configuration of a run, whose later versions draw limits and routes."""

import random

from soak import workspaces
from standins.gateway_documents import engine_spec, gateway_route
from standins.kv_copies import RETENTION_S
from standins.kv_engine import PREFIX

# So few that requests wait.
SLOTS = 2

# Of engines with long streams.
SLOTS_OF_LONG = 4

# How many requests may wait at a worker with limited room.
PLACES = 4

# The shortest idle limit of a configuration.
MIN_IDLE_MS = 500

# The timeout of long streams; callers of resumable ones wait for longer, over
# several requests.
RESUMABLE_TIMEOUT_MS = 8000


def configuration(
    version: int,
    *,
    has_resumable: bool = False,
    has_backups: bool = False,
    has_long: bool = False,
    has_workspaces: bool = False,
) -> dict:
    """Returns a version of the configuration, with a route of its own.

    Later versions draw the limits of connections, the timeouts and the number
    of routes.

    Args:
        version: The version.
        has_resumable: Whether there is a route with resumable streams.
        has_backups: Whether there is a route with long streams that may run
            only once, and engines have KV backups.
        has_long: Whether there is that route; engines have no backups then.
        has_workspaces: Whether requests need keys of workspaces.
    """
    rng = random.Random(version)
    slots = SLOTS_OF_LONG if has_long else SLOTS
    engine = engine_spec(("m1", "m2"), slots=slots)
    if has_backups:
        engine |= {
            "slots": SLOTS_OF_LONG,
            "backups": True,
            "handle_s": RETENTION_S,
        }
    is_first = version == 1

    def route(prefix: str, kind: str, service: str) -> dict:
        timeout_ms = 5000 if is_first else rng.choice([2500, 5000, 8000])
        timeout = {"timeout-ms": timeout_ms}
        return gateway_route(prefix, kind, service, **timeout)

    routes = [
        route("/stream/", "streaming", "llm"),
        route("/safe/", "safe", "app"),
        route("/unsafe/", "unsafe", "app"),
        route(f"/version-{version}/", "safe", "app"),
    ]
    if has_resumable:
        resumable = {"resumable": True, "timeout-ms": RESUMABLE_TIMEOUT_MS}
        routes.append(
            gateway_route("/resume/", "streaming", "llm", **resumable)
        )
    if has_backups or has_long:
        timeout = {"timeout-ms": RESUMABLE_TIMEOUT_MS}
        routes.append(gateway_route(PREFIX, "streaming", "llm", **timeout))
    limits = {}
    if not is_first:
        limits["idle-timeout-ms"] = rng.choice([MIN_IDLE_MS, 2000, 15000])
        limits["header-timeout-ms"] = rng.choice([1000, 5000])
        routes += [
            route(f"/more-{number}/", "safe", "app")
            for number in range(rng.choice([0, 0, 2000]))
        ]
    keyed = {"tenants": workspaces.documents(version)}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app"}, {"name": "llm", "engine": engine}],
        "limits": limits,
        **(keyed if has_workspaces else {}),
    }
