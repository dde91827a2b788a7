"""Creates the parts that share limits, places and quotas between hosts."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.limit_exchange import LimitExchange
from acaciaspoke.gateway.loadexchange import LoadExchange
from acaciaspoke.gateway.messages import Message
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.peers import Peers
from acaciaspoke.gateway.place_exchange import PlaceExchange
from acaciaspoke.gateway.quotas import QuotaExchange
from acaciaspoke.gateway.settings import GatewaySettings
from acaciaspoke.ids import BootId, HostId


class Sharing(NamedTuple):
    """What hosts share between them.

    Attributes:
        limits: Requests that limited upstreams take.
        places: Room of brittle upstreams.
        quotas: Quotas of workspaces.
    """

    limits: LimitExchange
    places: PlaceExchange
    quotas: QuotaExchange


def make_sharing(
    settings: GatewaySettings,
    boot: BootId,
    dispatcher: Dispatcher,
    metrics: GatewayMetrics,
    post: Callable[[Message, Iterable[HostId]], Message],
    peers: Peers,
    loads: LoadExchange,
    on_change: Callable[[], None],
) -> Sharing:
    """Creates the parts of one host.

    Args:
        settings: The settings of the host.
        boot: The boot of its process.
        dispatcher: Uses the tokens and places.
        metrics: Counts messages, tokens and refusals.
        post: Sends a message to some hosts.
        peers: Knows the registered hosts.
        loads: Knows the responsive hosts.
        on_change: Called when requests may go on.
    """

    def count_hosts() -> int:
        return len(peers.rows)

    def quota_hosts(now_s: float) -> dict[HostId, float]:
        return {
            host: link_mbps
            for host, link_mbps in loads.live_links_mbps(now_s).items()
            if host in peers.rows and peers.rows[host].knows_workspaces
        }

    host = settings.host_id
    return Sharing(
        LimitExchange(
            host,
            dispatcher,
            metrics,
            post,
            loads.live,
            count_hosts=count_hosts,
            on_tokens=on_change,
        ),
        PlaceExchange(
            host,
            dispatcher,
            metrics,
            post,
            loads.live,
            count_hosts=count_hosts,
            on_places=on_change,
        ),
        QuotaExchange(
            host,
            boot,
            metrics,
            post,
            quota_hosts,
            count_hosts=count_hosts,
            local_link_mbps=settings.link_mbps,
        ),
    )
