"""The state that a control process keeps of one upstream."""

from collections import deque
from collections.abc import Mapping

import msgspec
import xxhash

from acaciaspoke.config.schema import Upstream
from acaciaspoke.ids import ArtifactName, BootId
from acaciaspoke.net.records import EngineReport, UpstreamState
from acaciaspoke.util.chart import Machine

# Boots of one upstream that are known to be over.
KEPT_BOOTS = 8


def content_hash(boot_id: BootId, resident: Mapping[ArtifactName, str]) -> int:
    """Returns the hash in ``Load``."""
    content = msgspec.msgpack.encode((boot_id, sorted(resident.items())))
    return xxhash.xxh32_intdigest(content)


class KnownUpstream(msgspec.Struct):
    """What a control process knows of one upstream.

    Attributes:
        taken_s: When the newest report was taken, by the local clock.
        doubted_s: When it was last doubted; only a later report ends that.
        report: The newest report that this process polled itself.
        pollers: The hosts that poll it, the first of which passes it on.
        changed: Raised with each change, for entry processes.
    """

    config: Upstream
    machine: Machine[UpstreamState]
    poll_due_s: float
    boot_id: BootId = BootId("")
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    resident: dict[ArtifactName, str] = {}
    content_hash: int = 0
    taken_s: float = float("-inf")
    doubted_s: float = float("-inf")
    report: EngineReport | None = None
    ended_boots: deque[BootId] = msgspec.field(
        default_factory=lambda: deque(maxlen=KEPT_BOOTS)
    )
    pollers: tuple[str, ...] = ()
    changed: int = 0

    def is_newer(self, boot_id: BootId, sequence: int, taken_s: float) -> bool:
        """Tells whether a report is newer than the one held."""
        if boot_id == self.boot_id:
            return sequence > self.sequence
        return boot_id not in self.ended_boots and taken_s > self.taken_s
