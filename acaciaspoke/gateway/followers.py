"""Creates the tasks that follow the tables of the store."""

from collections.abc import Callable, Mapping

from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.rowrelay import RowRelay
from acaciaspoke.gateway.table_follower import (
    ApplyRows,
    TableFollower,
    feed_wait_s,
    pause_s,
    retry_pause_s,
)
from acaciaspoke.platform.store import UPSTREAMS_TABLE, StoreClient


def make_followers(
    store: StoreClient,
    apply_by_table: Mapping[str, ApplyRows],
    on_failure: Callable[[], None],
    metrics: GatewayMetrics,
    row_relay: RowRelay,
    *,
    drain_s: float,
    count_hosts: Callable[[], int],
    is_reader: Callable[[], bool],
) -> dict[str, TableFollower]:
    """Returns a follower for each table; one that recovers restarts all.

    Args:
        store: Client of the store.
        apply_by_table: Applies the rows of each table.
        on_failure: Called when a call was not answered.
        metrics: Counts calls.
        row_relay: Relays the upstreams table.
        drain_s: Time for which a draining upstream may still get work.
        count_hosts: Returns the number of hosts.
        is_reader: Returns whether this host reads the upstreams table for
            others.
    """
    followers: dict[str, TableFollower] = {}

    def restart_all() -> None:
        for follower in followers.values():
            follower.restart()

    def follow(table: str, apply: ApplyRows) -> TableFollower:
        relay_callbacks = {
            "on_page": row_relay.record_page,
            "is_delegated": row_relay.is_delegated,
        }
        return TableFollower(
            store,
            table,
            apply,
            on_failure,
            restart_all,
            metrics,
            lambda: pause_s(table, count_hosts(), drain_s, is_reader()),
            lambda: feed_wait_s(table, count_hosts(), drain_s, is_reader()),
            retry_s=lambda failures: retry_pause_s(
                table, count_hosts(), failures
            ),
            **(relay_callbacks if table == UPSTREAMS_TABLE else {}),
        )

    for table, apply in apply_by_table.items():
        followers[table] = follow(table, apply)
    return followers
