"""Applies the rows of the operator and of upstreams to a gateway's parts."""

import time
from collections.abc import Callable

from loguru import logger

from acaciaspoke.gateway.registry import UpstreamRegistry
from acaciaspoke.gateway.table_follower import ApplyRows
from acaciaspoke.gateway.types import Configuration
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_upstream,
)
from acaciaspoke.platform.store import CONFIGURATION_KEY, FeedRow
from acaciaspoke.platform.versions import era_of, number_of


def configuration_applier(
    current: Callable[[], Configuration | None],
    activate: Callable[[Configuration, bytes], None],
) -> Callable[[list[FeedRow], bool], None]:
    """Returns a function that applies rows of the operator's table.

    Args:
        current: Returns the configuration in force.
        activate: Puts a newer one into force, given also its row's value.
    """

    def apply(rows: list[FeedRow], is_snapshot: bool) -> None:
        for row in rows:
            if row.key != CONFIGURATION_KEY or row.value is None:
                continue
            try:
                configuration = decode_configuration(row.value)
            except DocumentError as error:
                logger.error("configuration is invalid: {}", error)
                continue
            known = current()
            if known and configuration.version <= known.version:
                continue
            activate(configuration, row.value)
            logger.info(
                "configuration {} is in force",
                configuration.version,
                row_version=number_of(row.version),
                store_era=era_of(row.version),
                routes=len(configuration.routes),
            )

    return apply


def confirmed_by_store(
    apply: ApplyRows, record_read: Callable[[float], None]
) -> ApplyRows:
    """Returns a function that applies what the store has just answered.

    Args:
        apply: Applies the rows.
        record_read: Called with the time of each answer, also without rows.
    """

    def apply_answer(rows: list[FeedRow], is_snapshot: bool) -> None:
        apply(rows, is_snapshot)
        record_read(time.monotonic())

    return apply_answer


def upstream_applier(
    registry: UpstreamRegistry, on_applied: Callable[[], None]
) -> Callable[[list[FeedRow], bool], None]:
    """Returns a function that applies records of upstreams.

    Args:
        registry: Gets the records and removals.
        on_applied: Called after each page.
    """

    def apply(rows: list[FeedRow], is_snapshot: bool) -> None:
        now_s = time.monotonic()
        for row in rows:
            name = UpstreamId(row.key)
            if row.value is None:
                registry.remove(name, now_s)
                continue
            try:
                registry.put(decode_upstream(name, row.value), is_snapshot)
            except DocumentError as error:
                logger.warning("invalid upstream record ignored: {}", error)
        if is_snapshot:
            registry.retain({UpstreamId(row.key) for row in rows}, now_s)
        registry.drop_lapsed(now_s)
        on_applied()

    return apply
