"""The configuration of a run, whose later versions draw limits and routes."""

import random

from standins.gateway_documents import engine_spec, gateway_route

# So few that requests wait.
SLOTS = 2

# The shortest idle limit of a configuration.
MIN_IDLE_MS = 500

# The timeout of resumable streams; their callers wait for longer, over several
# requests.
RESUMABLE_TIMEOUT_MS = 8000


def configuration(version: int, *, has_resumable: bool = False) -> dict:
    """Returns a version of the configuration, with a route of its own.

    Later versions draw the limits of connections, the timeouts and the number
    of routes.

    Args:
        version: The version.
        has_resumable: Whether there is a route with resumable streams.
    """
    rng = random.Random(version)
    engine = engine_spec(("m1", "m2"), slots=SLOTS)
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
    limits = {}
    if not is_first:
        limits["idle-timeout-ms"] = rng.choice([MIN_IDLE_MS, 2000, 15000])
        limits["header-timeout-ms"] = rng.choice([1000, 5000])
        routes += [
            route(f"/more-{number}/", "safe", "app")
            for number in range(rng.choice([0, 0, 2000]))
        ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app"}, {"name": "llm", "engine": engine}],
        "limits": limits,
    }
