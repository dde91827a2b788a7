"""The state of one upstream in a control process."""

from collections import deque
from collections.abc import Mapping

import msgspec
import xxhash

from acaciaspoke.config.schema import Upstream
from acaciaspoke.ids import ArtifactName, BootId
from acaciaspoke.net.records import EngineReport, UpstreamState
from acaciaspoke.util.chart import StateMachine

# Ended boots that are remembered per upstream, to ignore their late reports.
MAX_ENDED_BOOTS = 8


def content_hash(boot_id: BootId, resident: Mapping[ArtifactName, str]) -> int:
    """Returns the hash of boot and artifacts that ``Load`` carries."""
    content = msgspec.msgpack.encode((boot_id, sorted(resident.items())))
    return xxhash.xxh32_intdigest(content)


class KnownUpstream(msgspec.Struct):
    """The state of one upstream in a control process.

    Attributes:
        observed_s: The earliest time at which the newest report can have been
            made, by the local clock.
        suspected_s: When it was last suspected. Only a report made later
            clears the suspicion.
        report: The newest report polled by this process.
        pollers: The hosts that poll it. The first one forwards its reports.
        change: The number of the last change, for entry processes.
    """

    config: Upstream
    machine: StateMachine[UpstreamState]
    poll_due_s: float
    boot_id: BootId = BootId("")
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    resident: dict[ArtifactName, str] = {}
    content_hash: int = 0
    observed_s: float = float("-inf")
    suspected_s: float = float("-inf")
    report: EngineReport | None = None
    ended_boots: deque[BootId] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_ENDED_BOOTS)
    )
    pollers: tuple[str, ...] = ()
    change: int = 0

    def is_newer(
        self, boot_id: BootId, sequence: int, observed_s: float
    ) -> bool:
        """Returns whether a report is newer than the newest one so far."""
        if boot_id == self.boot_id:
            return sequence > self.sequence
        return boot_id not in self.ended_boots and observed_s > self.observed_s
