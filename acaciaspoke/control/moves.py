"""Moves of artifacts, as placement plans and orders carry them out."""

from enum import Enum

import msgspec

from acaciaspoke.config.schema import Artifact
from acaciaspoke.ids import UpstreamId


class MoveKind(Enum):
    """The kinds of moves."""

    LOAD = "load"
    UNLOAD = "unload"


class Reason(Enum):
    """Why a move is planned; for logs and metrics."""

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
