"""Moves: the loads and unloads of artifacts that placement plans."""

from enum import Enum

import msgspec

from acaciaspoke.config.schema import Artifact
from acaciaspoke.ids import UpstreamId


class MoveKind(Enum):
    """The kinds of moves."""

    LOAD = "load"
    UNLOAD = "unload"


class Reason(Enum):
    """The reason for a move, for logs and metrics."""

    COLD = "cold"
    COPY = "copy"
    REPLICA = "replica"
    ROOM = "room"
    VERSION = "version"
    REMOVED = "removed"
    MISSING = "missing"


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """A load or an unload of one artifact on one upstream."""

    kind: MoveKind
    upstream: UpstreamId
    artifact: Artifact
    reason: Reason
