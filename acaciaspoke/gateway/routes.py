"""Chooses the route and the service of a request."""

from collections import defaultdict
from collections.abc import Iterable

import xxhash

from acaciaspoke.gateway.types import Route
from acaciaspoke.ids import RequestId, ServiceId


class RouteTable:
    """The routes of one configuration version."""

    def __init__(self, routes: Iterable[Route]):
        self._by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._by_host[route.host][route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path.

        Args:
            host: The Host header; its port is ignored.
            path: The path as it was received, without the query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        prefixes = self._by_host.get(name.lower())
        if not prefixes:
            return None
        # Prefixes begin and end with a slash, so only these can match.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route: Route, request_id: RequestId) -> ServiceId:
    """Chooses a target by weight; always the same one for a request id."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    if total <= 0:
        return route.targets[0].service
    point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
