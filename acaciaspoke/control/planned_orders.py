"""The loads and unloads of artifacts that placement plans."""

from enum import Enum

import msgspec

from acaciaspoke.config.schema import Artifact
from acaciaspoke.ids import UpstreamId


class OrderKind(Enum):
    """The kinds of planned orders."""

    LOAD = "load"
    UNLOAD = "unload"


class Reason(Enum):
    """The reason for an order, for logs and metrics."""

    COLD = "cold"
    FIRST_REPLICA = "copy"
    ADDITIONAL_REPLICA = "replica"
    EVICTION = "room"
    VERSION = "version"
    REMOVED = "removed"
    MISSING = "missing"


class PlannedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A load or an unload of one artifact on one upstream."""

    kind: OrderKind
    upstream: UpstreamId
    artifact: Artifact
    reason: Reason
