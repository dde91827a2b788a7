"""Tracks and distributes the configuration version in force.

A few hosts of each failure domain poll the table and push new versions; other
hosts pull from a peer whose probe announces a higher version. The version in
force never decreases, even if messages are late or reads are stale.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import msgspec
from loguru import logger

from acaciaspoke.config.schema import Config
from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import Address, ConfigVersion, HostId
from acaciaspoke.net.messages import ConfigPull, ConfigPush, Outgoing
from acaciaspoke.net.records import Member, PatchRow
from acaciaspoke.util.rendezvous import choose

Apply = Callable[[Config, PatchRow], Config]

POLLERS_PER_DOMAIN = 3
POLL_INTERVAL_S = 1.0

# The other hosts also read the head, in case all three pollers are cut off
# from the table. 2,000 hosts then use 200 of the table's 2,000 reads a second,
# and a version is still in force on all hosts within 12 s.
SLOW_POLL_INTERVAL_S = 10.0

# Peers to which a new version is pushed at once; the others learn of it from
# probes.
PUSH_TARGETS = 3

# A pull without a response is repeated after this time.
PULL_TIMEOUT_S = 1.0

# The number of versions between two snapshots in the object store.
MAX_RETAINED_ROWS = 256

MAX_PATCH_BYTES_PER_PUSH = 64 * 1024

# The mailbox accepts 16 MiB; a whole configuration at the target size has 1 to
# 2 MiB.
MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024

# Snapshots are large. The interval keeps one host from sending one to every
# host of a domain that restarts as a whole; other hosts respond too.
SNAPSHOT_INTERVAL_S = 1.0

# At startup without the table, the number of peers queried and the longest wait
# for their responses.
STARTUP_PEERS = 5
STARTUP_WAIT_S = 3.0


def pollers(live: Iterable[Member]) -> list[HostId]:
    """Returns the hosts of one domain that poll the table each second."""
    hosts = [member.host for member in live]
    return [
        HostId(host)
        for host in choose("config/head", hosts, POLLERS_PER_DOMAIN)
    ]


class ConfigWatch:
    """The configuration version in force on one host.

    Args:
        host: This host.
        address: The mailbox of its control process.
        apply: Returns a configuration with one patch row applied; raises an
            ``AcaciaspokeError`` for a row that does not apply.

    Attributes:
        config: The configuration in force.
        ready: Whether the version is known to be recent enough to serve.
    """

    def __init__(
        self,
        host: HostId,
        address: Address,
        apply: Apply,
        rng: random.Random,
        now_s: float,
    ):
        self.config = Config()
        self.ready = False
        self._host = host
        self._address = address
        self._apply = apply
        self._rng = rng
        self._rows: deque[PatchRow] = deque(maxlen=MAX_RETAINED_ROWS)
        self._poll_due_s = now_s
        self._last_pull_s = float("-inf")
        self._last_snapshot_s = float("-inf")
        # Ready once the required version is confirmed and in force.
        self._required_version = ConfigVersion(0)
        self._is_confirmed = False
        self._queried_peers: set[Address] = set()
        self._responding_peers: set[Address] = set()
        self._query_start_s = now_s

    @property
    def version(self) -> ConfigVersion:
        """The version in force."""
        return self.config.version

    # Table reads.

    def poll_due(self, live: Iterable[Member], now_s: float) -> bool:
        """Returns whether to read ``config/head`` now; schedules the next read.

        Until the host is ready the read must be linearizable; later it may be
        stale.
        """
        if now_s < self._poll_due_s:
            return False
        often = not self.ready or self._host in pollers(live)
        interval_s = POLL_INTERVAL_S if often else SLOW_POLL_INTERVAL_S
        # Spreads the reads of hosts that started together.
        self._poll_due_s = now_s + interval_s * self._rng.uniform(0.9, 1.0)
        return True

    def on_head(self, head: ConfigVersion, linearizable: bool) -> range:
        """Handles the table's head; returns the versions to read.

        A head below the version in force comes from a stale read and has no
        effect.
        """
        if linearizable:
            self._required_version = max(self._required_version, head)
            self._is_confirmed = True
            self._check_ready()
        return range(self.version + 1, head + 1)

    def on_rows(
        self, rows: Iterable[PatchRow], live: Iterable[Member]
    ) -> list[Outgoing]:
        """Applies rows read from the table and pushes them to some peers."""
        return self._forward(self._apply_rows(rows), live)

    def restore(self, config: Config) -> bool:
        """Puts a whole configuration in force if its version is higher."""
        if config.version <= self.version:
            return False
        self.config = config
        self._rows.clear()
        self._check_ready()
        return True

    # Messages of peers.

    def on_peer_version(self, member: Member, now_s: float) -> list[Outgoing]:
        """Pulls if the sender of a probe or ack has a higher version."""
        if (
            member.config_version <= self.version
            or now_s - self._last_pull_s < PULL_TIMEOUT_S
        ):
            return []
        self._last_pull_s = now_s
        return [self._pull(member.address)]

    def on_pull(self, pull: ConfigPull, now_s: float) -> list[Outgoing]:
        """Responds with rows, or with a snapshot if rows are missing here.

        A response without either still announces the version in force.
        """
        push = ConfigPush(sender=self._address, version=self.version)
        rows = [row for row in self._rows if row.version > pull.after_version]
        if pull.after_version < self.version:
            if rows and rows[0].version == pull.after_version + 1:
                push = msgspec.structs.replace(
                    push, patches=_rows_for_one_push(rows)
                )
            else:
                push = msgspec.structs.replace(
                    push, snapshot=self._snapshot(now_s)
                )
        return [Outgoing(pull.reply_to, push)]

    def on_push(
        self, push: ConfigPush, live: Iterable[Member], now_s: float
    ) -> list[Outgoing]:
        """Applies a push; forwards new rows and pulls missing ones."""
        before = self.version
        if push.snapshot:
            self._restore_json(push.snapshot)
        applied = self._apply_rows(push.patches)
        if push.sender in self._queried_peers and push.version > 0:
            self._responding_peers.add(push.sender)
            self._required_version = max(self._required_version, push.version)
        self._check_ready()
        outgoing = self._forward(applied, live, exclude=push.sender)
        highest = max([push.version, *(row.version for row in push.patches)])
        # Without progress the next pull waits for the next probe, so that two
        # hosts that cannot apply each other's rows do not exchange messages in
        # a tight loop.
        progress = self.version > before
        pull_overdue = now_s - self._last_pull_s >= PULL_TIMEOUT_S
        if (
            push.sender
            and highest > self.version
            and (progress or pull_overdue)
        ):
            self._last_pull_s = now_s
            outgoing.append(self._pull(push.sender))
        return outgoing

    # Startup without the table.

    def on_table_unavailable(
        self, live: Sequence[Member], now_s: float
    ) -> list[Outgoing]:
        """Queries some peers for their versions while not ready.

        Call it after each failed read of the head.
        """
        if self.ready:
            return []
        peers = [member.address for member in live if member.host != self._host]
        if not self._queried_peers:
            self._query_start_s = now_s
        unresponsive = [
            peer for peer in peers if peer not in self._responding_peers
        ]
        count = max(0, STARTUP_PEERS - len(self._responding_peers))
        chosen = self._rng.sample(unresponsive, min(count, len(unresponsive)))
        self._queried_peers |= set(chosen)
        return [self._pull(address) for address in chosen]

    def tick(self, now_s: float) -> None:
        """Becomes ready when enough of the queried peers have responded.

        A peer without a version does not count. If all hosts start while the
        table is unavailable, they wait for it.
        """
        if self.ready or not self._responding_peers:
            return
        enough = len(self._responding_peers) >= min(
            STARTUP_PEERS, len(self._queried_peers)
        )
        if enough or now_s - self._query_start_s >= STARTUP_WAIT_S:
            self._is_confirmed = True
            self._check_ready()

    def _check_ready(self) -> None:
        if self._is_confirmed and self.version >= self._required_version:
            self.ready = True

    # Helpers.

    def _pull(self, address: Address) -> Outgoing:
        pull = ConfigPull(reply_to=self._address, after_version=self.version)
        return Outgoing(address, pull)

    def _apply_rows(self, rows: Iterable[PatchRow]) -> list[PatchRow]:
        """Applies the rows that follow the version in force, up to a gap."""
        applied = []
        for row in sorted(rows, key=lambda row: row.version):
            if row.version <= self.version:
                continue
            if row.version != self.version + 1:
                break
            try:
                config = self._apply(self.config, row)
            except AcaciaspokeError as error:
                logger.error("cannot apply patch {}: {}", row.version, error)
                break
            self.config = msgspec.structs.replace(config, version=row.version)
            self._rows.append(row)
            applied.append(row)
        self._check_ready()
        return applied

    def _restore_json(self, snapshot: str) -> None:
        try:
            self.restore(msgspec.json.decode(snapshot, type=Config))
        except msgspec.MsgspecError as error:
            logger.error("dropped an invalid snapshot from a peer: {}", error)

    def _snapshot(self, now_s: float) -> str:
        """Returns the configuration as JSON, or "" if it may not be sent."""
        if now_s - self._last_snapshot_s < SNAPSHOT_INTERVAL_S:
            return ""
        text = msgspec.json.encode(self.config).decode()
        if len(text) > MAX_SNAPSHOT_BYTES:
            logger.error("snapshot of {} bytes is too large to send", len(text))
            return ""
        self._last_snapshot_s = now_s
        return text

    def _forward(
        self,
        rows: Sequence[PatchRow],
        live: Iterable[Member],
        exclude: Address | None = None,
    ) -> list[Outgoing]:
        if not rows:
            return []
        # What is known of the versions of peers is stale, so those that lack
        # this version cannot be singled out. The choice is random.
        peers = [
            member.address
            for member in live
            if member.address not in (self._address, exclude)
        ]
        push = ConfigPush(
            patches=_rows_for_one_push(rows),
            sender=self._address,
            version=self.version,
        )
        chosen = self._rng.sample(peers, min(PUSH_TARGETS, len(peers)))
        return [Outgoing(address, push) for address in chosen]


def _rows_for_one_push(rows: Iterable[PatchRow]) -> tuple[PatchRow, ...]:
    """Returns the first rows that fit into one push, at least one."""
    fitting: list[PatchRow] = []
    size_bytes = 0
    for row in rows:
        size_bytes += len(row.merge_patch.encode())
        if fitting and size_bytes > MAX_PATCH_BYTES_PER_PUSH:
            break
        fitting.append(row)
    return tuple(fitting)
