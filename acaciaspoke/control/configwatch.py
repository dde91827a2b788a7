"""Which version of the configuration is in force, and who learns of it how.

A few hosts of each failure domain poll the table and push what they find; the
other hosts pull from a peer whose probe names a higher version. The version
in force is only ever raised, whatever arrives late or stale.
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

# The other hosts read the head too, in case all three pollers are cut off
# from the table. 2,000 hosts then cost 200 of the table's 2,000 reads a
# second, and a version is still in force everywhere within 12 s.
SLOW_POLL_INTERVAL_S = 10.0

# A new version goes on at once to so many peers; probes cover the rest.
PUSH_TARGETS = 3

# A pull whose answer is lost is repeated after this time.
PULL_TIMEOUT_S = 1.0

# As many as lie between two snapshots in the object store.
KEPT_ROWS = 256

MAX_PATCH_BYTES_PER_PUSH = 64 * 1024

# The mailbox takes 16 MiB; a whole configuration of the target size has 1-2.
MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024

# Snapshots are large, so that one host does not send one to each host of a
# domain that restarts as a whole; the others answer too.
SNAPSHOT_INTERVAL_S = 1.0

# Peers asked at the start when the platform is out, and how long to wait for
# those that do not answer.
START_PEERS = 5
START_WAIT_S = 3.0


def pollers(live: Iterable[Member]) -> list[HostId]:
    """Returns the hosts of one domain that poll the table each second."""
    hosts = [member.host for member in live]
    return [
        HostId(host)
        for host in choose("config/head", hosts, POLLERS_PER_DOMAIN)
    ]


class ConfigWatch:
    """The version in force on one host.

    Args:
        host: This host.
        address: Its control process's mailbox.
        apply: Returns a configuration with one patch row applied; raises an
            ``AcaciaspokeError`` for a row that does not fit.

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
        self._rows: deque[PatchRow] = deque(maxlen=KEPT_ROWS)
        self._poll_due_s = now_s
        self._pulled_s = float("-inf")
        self._snapshot_s = float("-inf")
        # Ready once it is confirmed which version is wanted and it is in force.
        self._wanted = ConfigVersion(0)
        self._confirmed = False
        self._asked: set[Address] = set()
        self._answered: set[Address] = set()
        self._asked_s = now_s

    @property
    def version(self) -> ConfigVersion:
        """The version in force."""
        return self.config.version

    # The table.

    def poll_due(self, live: Iterable[Member], now_s: float) -> bool:
        """Tells whether to read ``config/head`` now, and counts it as read.

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
        """Takes in the table's head; returns the versions to read.

        A head below the version in force comes from a stale read and changes
        nothing.
        """
        if linearizable:
            self._wanted = max(self._wanted, head)
            self._confirmed = True
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

    # Peers.

    def on_peer(self, member: Member, now_s: float) -> list[Outgoing]:
        """Pulls if the sender of a probe or its answer has a higher version."""
        if (
            member.config_version <= self.version
            or now_s - self._pulled_s < PULL_TIMEOUT_S
        ):
            return []
        self._pulled_s = now_s
        return [self._pull(member.address)]

    def on_pull(self, pull: ConfigPull, now_s: float) -> list[Outgoing]:
        """Answers with rows, or with a snapshot if rows are missing here.

        Without either the answer still tells the version in force.
        """
        push = ConfigPush(sender=self._address, version=self.version)
        rows = [row for row in self._rows if row.version > pull.after_version]
        if pull.after_version < self.version:
            if rows and rows[0].version == pull.after_version + 1:
                push = msgspec.structs.replace(push, patches=_bounded(rows))
            else:
                push = msgspec.structs.replace(
                    push, snapshot=self._snapshot(now_s)
                )
        return [Outgoing(pull.reply_to, push)]

    def on_push(
        self, push: ConfigPush, live: Iterable[Member], now_s: float
    ) -> list[Outgoing]:
        """Takes in a push; passes new rows on and pulls what is missing."""
        before = self.version
        if push.snapshot:
            self._restore_json(push.snapshot)
        applied = self._apply_rows(push.patches)
        if push.sender in self._asked and push.version > 0:
            self._answered.add(push.sender)
            self._wanted = max(self._wanted, push.version)
        self._check_ready()
        outgoing = self._forward(applied, live, but=push.sender)
        highest = max([push.version, *(row.version for row in push.patches)])
        # Without progress the next probe starts the next pull, so that two
        # hosts that cannot understand each other do not exchange messages
        # without pause.
        progress = self.version > before
        silent = now_s - self._pulled_s >= PULL_TIMEOUT_S
        if push.sender and highest > self.version and (progress or silent):
            self._pulled_s = now_s
            outgoing.append(self._pull(push.sender))
        return outgoing

    # The start without the platform.

    def on_table_unavailable(
        self, live: Sequence[Member], now_s: float
    ) -> list[Outgoing]:
        """Asks some peers for their versions while not ready.

        To be called after each failed read of the head.
        """
        if self.ready:
            return []
        peers = [member.address for member in live if member.host != self._host]
        if not self._asked:
            self._asked_s = now_s
        silent = [peer for peer in peers if peer not in self._answered]
        count = max(0, START_PEERS - len(self._answered))
        chosen = self._rng.sample(silent, min(count, len(silent)))
        self._asked |= set(chosen)
        return [self._pull(address) for address in chosen]

    def tick(self, now_s: float) -> None:
        """Becomes ready when enough of the asked peers have answered.

        A peer that has no version yet is no answer, so hosts that all start
        while the platform is out wait for it.
        """
        if self.ready or not self._answered:
            return
        enough = len(self._answered) >= min(START_PEERS, len(self._asked))
        if enough or now_s - self._asked_s >= START_WAIT_S:
            self._confirmed = True
            self._check_ready()

    def _check_ready(self) -> None:
        if self._confirmed and self.version >= self._wanted:
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
                logger.error("patch {} does not apply: {}", row.version, error)
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
            logger.error("dropped a wrong snapshot from a peer: {}", error)

    def _snapshot(self, now_s: float) -> str:
        """Returns the configuration as JSON, or "" if it may not be sent."""
        if now_s - self._snapshot_s < SNAPSHOT_INTERVAL_S:
            return ""
        text = msgspec.json.encode(self.config).decode()
        if len(text) > MAX_SNAPSHOT_BYTES:
            logger.error("configuration of {} bytes is not sent", len(text))
            return ""
        self._snapshot_s = now_s
        return text

    def _forward(
        self,
        rows: Sequence[PatchRow],
        live: Iterable[Member],
        but: Address | None = None,
    ) -> list[Outgoing]:
        if not rows:
            return []
        # A peer that already has a version does not need it, but what is
        # known of its version is late, so the choice is random.
        peers = [
            member.address
            for member in live
            if member.address not in (self._address, but)
        ]
        push = ConfigPush(
            patches=_bounded(rows), sender=self._address, version=self.version
        )
        chosen = self._rng.sample(peers, min(PUSH_TARGETS, len(peers)))
        return [Outgoing(address, push) for address in chosen]


def _bounded(rows: Iterable[PatchRow]) -> tuple[PatchRow, ...]:
    """Returns the first rows that fit into one push, and at least one."""
    taken: list[PatchRow] = []
    size_bytes = 0
    for row in rows:
        size_bytes += len(row.merge_patch.encode())
        if taken and size_bytes > MAX_PATCH_BYTES_PER_PUSH:
            break
        taken.append(row)
    return tuple(taken)
