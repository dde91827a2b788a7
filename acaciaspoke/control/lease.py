"""The lease that decides which process plans placement and sends orders.

The lease is one row of the table, changed only by compare-and-put. Clocks of
different hosts are never compared: the holder measures the lease from the time
it sent its write, an observer from the time it saw the row change. The first
precedes the write and the second follows it, so the holder's lease expires
before another host may acquire it.
"""

import random
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec
from loguru import logger

from acaciaspoke.clients.table import Condition, Row
from acaciaspoke.control.fencing import FencingTokens, next_epoch
from acaciaspoke.control.lease_errors import LeaseError, LeaseNotHeldError
from acaciaspoke.control.lease_row import LeaseRow, Read, Write
from acaciaspoke.ids import BootId, DomainId, FencingToken, HostId
from acaciaspoke.util.chart import StateMachine

RENEW_INTERVAL_S = 3.0
RETRY_INTERVAL_S = 1.0
READ_INTERVAL_S = 2.0

# Hosts that are not candidates read the row rarely: 2,000 hosts make 200 reads
# a second. They acquire the lease only if no candidate reaches the table.
SLOW_READ_INTERVAL_S = 10.0

# Keeps candidates that see the same expiry from writing at the same time.
TAKEOVER_JITTER_S = 0.5


class LeaseTiming(NamedTuple):
    """Intervals at which the lease row is read and written."""

    renew_s: float = RENEW_INTERVAL_S
    retry_s: float = RETRY_INTERVAL_S
    read_s: float = READ_INTERVAL_S
    slow_read_s: float = SLOW_READ_INTERVAL_S
    takeover_jitter_s: float = TAKEOVER_JITTER_S


# Allowance for monotonic clocks that run at different rates: a tenth of the
# lease, far more than any clock in use drifts.
MAX_CLOCK_DRIFT_SHARE = 0.1

MAX_REMEMBERED_WRITES = 32


class LeaseState(Enum):
    """States of ``charts/lease.yaml``."""

    FOLLOWER = "follower"
    HOLDER = "holder"


class Lease:
    """The lease as one process sees it, and its decisions about it."""

    def __init__(
        self,
        domain: DomainId,
        host: HostId,
        boot: BootId,
        lease_s: float,
        rng: random.Random,
        timing: LeaseTiming = LeaseTiming(),  # noqa: B008 - immutable
        table_era: Callable[[], int] = lambda: 0,
    ):
        """Creates the lease without having read its row.

        Args:
            domain: What the lease is for; names the row.
            host: This host.
            boot: The boot of this process.
            lease_s: How long a write is valid.
            rng: Draws write ids and delays.
            timing: Intervals of reads and writes.
            table_era: Returns the highest known era of the table, which rises
                each time the table is restored from a copy.
        """
        self.key = f"lease/{domain}"
        self._host = host
        self._boot = boot
        self._lease_s = lease_s
        self._rng = rng
        self._timing = timing
        self._table_era = table_era
        self._machine: StateMachine[LeaseState] = StateMachine(
            "lease", LeaseState
        )
        self._released = False
        self._tokens = FencingTokens()
        self._valid_until_s = float("-inf")
        # The last observed row; the revision is None before the first read.
        self._row: LeaseRow | None = None
        self._revision: int | None = None
        self._row_changed_s = float("-inf")
        self._takeover_delay_s = 0.0
        self._highest_epoch = 0
        # Send times of this process's writes, by write id.
        self._sent_writes: dict[str, float] = {}
        self._outcome_unknown = False
        self._table_was_unreachable = False
        self._read_due_s = float("-inf")
        self._write_due_s = float("-inf")

    # Queries.

    @property
    def state(self) -> LeaseState:
        """The state as of the last step or result.

        The lease may have expired since; use ``is_held`` before acting on it.
        """
        return self._machine.state

    @property
    def holder(self) -> HostId | None:
        """The holder named by the last observed row."""
        return (self._row.holder or None) if self._row else None

    @property
    def renewals(self) -> int:
        """How often the holder in the last observed row has renewed it."""
        return self._row.renewals if self._row else 0

    @property
    def is_row_outdated(self) -> bool:
        """Whether processes may have held the lease after the last row.

        This is so if the table was restored from a copy, and the row was not
        written since. A table that was never restored is in era 0 or 1.
        """
        era = self._table_era()
        return era > 1 and (self._row is None or self._row.era < era)

    @property
    def epoch(self) -> int:
        """The epoch in which this process last held the lease."""
        return self._tokens.epoch

    @property
    def highest_known_epoch(self) -> int:
        """The highest epoch observed for any holder."""
        return self._highest_epoch

    @property
    def row(self) -> Row | None:
        """The last observed row, for hosts that do not read it themselves."""
        if self._row is None or not self._revision:
            return None
        value = msgspec.json.encode(self._row)
        return Row(self.key, value, self._revision, self._revision)

    def is_held(self, now_s: float) -> bool:
        """Returns whether this process holds the lease at ``now_s``.

        Does not rely on ``step``, which a process that was paused has not
        called.
        """
        held = self._machine.state is LeaseState.HOLDER
        return held and now_s < self._valid_until_s

    def condition(self, now_s: float) -> Condition:
        """Returns the condition for a write made under the lease.

        A renewal also changes the row, so a write that races with one
        conflicts and must be retried with a new condition.

        Raises:
            LeaseNotHeldError: If the lease is not held.
        """
        self._require_held(now_s)
        return Condition(self.key, self._revision or 0)

    def next_token(self, now_s: float) -> FencingToken:
        """Returns a fencing token above all earlier tokens of this lease.

        Raises:
            LeaseNotHeldError: If the lease is not held.
            LeaseError: If the epoch has no tokens left.
        """
        self._require_held(now_s)
        return self._tokens.next()

    def _require_held(self, now_s: float) -> None:
        if not self.is_held(now_s):
            raise LeaseNotHeldError(f"{self.key} is not held by this process")

    # Decisions.

    def step(self, now_s: float, candidate: bool) -> Read | Write | None:
        """Returns the read or write that is due, if any.

        Args:
            now_s: The time; the validity of a write counts from it.
            candidate: Whether this host is one of the few that compete.
        """
        if self.state is LeaseState.HOLDER and now_s >= self._valid_until_s:
            self._machine.send("lapsed")
        if self._outcome_unknown or self._revision is None:
            return self._read(now_s, self._timing.read_s)
        if self.state is LeaseState.HOLDER:
            if now_s < self._write_due_s:
                return None
            row = msgspec.structs.replace(
                self._row, renewals=self._row.renewals + 1
            )
            return self._write(row, now_s)
        if not self._released and self._is_free(now_s, candidate):
            if now_s < self._write_due_s:
                return None
            epoch = next_epoch(
                self._highest_epoch, self._table_era(), self.is_row_outdated
            )
            row = LeaseRow(holder=self._host, boot=self._boot, epoch=epoch)
            return self._write(row, now_s)
        interval_s = (
            self._timing.read_s if candidate else self._timing.slow_read_s
        )
        return self._read(now_s, interval_s)

    def release(self, now_s: float) -> Write | None:
        """Releases the lease permanently; call it when no order is pending.

        The lease is not held from here on, even if the write fails.
        """
        self._released = True
        return self.hand_over(now_s)

    def hand_over(self, now_s: float) -> Write | None:
        """Releases the lease for now; call it when no order is pending.

        The lease is not held from here on, even if the write fails.
        """
        if self.state is not LeaseState.HOLDER:
            return None
        self._machine.send("handed_back")
        # The row is kept: deleting it would restart the epochs.
        row = msgspec.structs.replace(self._row, holder=HostId(""))
        return self._write(row, now_s)

    def _is_free(self, now_s: float, candidate: bool) -> bool:
        free_s = self._row_changed_s
        row = self._row
        if row and row.holder == self._host:
            # The lease of this process lapsed, or an earlier process of this
            # host held it and has ended.
            return True
        if row and row.holder:
            free_s += self._lease_s
        return now_s >= free_s + (
            self._takeover_delay_s if candidate else self._lease_s
        )

    def _read(self, now_s: float, interval_s: float) -> Read | None:
        if now_s < self._read_due_s:
            return None
        self._read_due_s = now_s + interval_s
        return Read(self.key)

    def _write(self, row: LeaseRow, now_s: float) -> Write:
        self._write_due_s = now_s + self._timing.retry_s
        write_id = f"{self._rng.getrandbits(64):016x}"
        self._sent_writes[write_id] = now_s
        while len(self._sent_writes) > MAX_REMEMBERED_WRITES:
            del self._sent_writes[next(iter(self._sent_writes))]
        row = msgspec.structs.replace(
            row, write_id=write_id, era=self._table_era()
        )
        return Write(self.key, row, self._revision or 0)

    # Results.

    def on_row(self, row: Row | None, now_s: float) -> None:
        """Handles the row that a read or a conflict returned.

        Raises:
            LeaseError: If the row cannot be decoded.
        """
        revision = row.mod_revision if row else 0
        if row is None:
            content = None
        else:
            try:
                content = msgspec.json.decode(row.value, type=LeaseRow)
            except msgspec.MsgspecError as error:
                raise LeaseError(f"{self.key}: {error}") from error
        if 0 < revision < (self._revision or 0):
            return  # A later response was handled first.
        self._outcome_unknown = False
        self._observe_row(content, revision, now_s)

    def on_committed(self, write: Write, revision: int, now_s: float) -> None:
        """Handles a write that took effect."""
        self._outcome_unknown = False
        self._observe_row(write.row, revision, now_s)

    def on_outcome_unknown(self) -> None:
        """Handles a write with unknown outcome by reading the row at once."""
        self._outcome_unknown = True
        self._read_due_s = float("-inf")

    def on_table_unavailable(self) -> None:
        """Handles an unreachable table.

        The holder may have lost the table too. It gets one full lease to renew
        after the table is back, as a change of holder costs more than waiting.
        """
        self._table_was_unreachable = True

    def on_table_restored(self) -> None:
        """Handles a table that has lost its latest writes.

        What was known of the row is void, also the writes of this process.
        """
        self._row, self._revision = None, None
        self._sent_writes.clear()
        self._read_due_s = float("-inf")
        if self.state is LeaseState.HOLDER:
            logger.warning("{} lost; the table was restored", self.key)
            self._machine.send("lapsed")

    def _observe_row(
        self, content: LeaseRow | None, revision: int, now_s: float
    ) -> None:
        if revision != self._revision or self._table_was_unreachable:
            self._table_was_unreachable = False
            self._row_changed_s = now_s
            self._takeover_delay_s = self._rng.uniform(
                0, self._timing.takeover_jitter_s
            )
        self._row, self._revision = content, revision
        if content:
            self._highest_epoch = max(self._highest_epoch, content.epoch)
        sent_s = self._sent_writes.get(content.write_id) if content else None
        if sent_s is not None and content.holder and not self._released:
            self._extend_validity(content, sent_s, now_s)
        elif self.state is LeaseState.HOLDER:
            logger.warning("{} lost; another process wrote its row", self.key)
            self._machine.send("lapsed")

    def _extend_validity(
        self, row: LeaseRow, sent_s: float, now_s: float
    ) -> None:
        valid_until_s = sent_s + self._lease_s * (1 - MAX_CLOCK_DRIFT_SHARE)
        if now_s >= valid_until_s:
            return  # Already expired; the row can be acquired again at once.
        if self.state is LeaseState.HOLDER:
            self._machine.send("renewed")
        else:
            self._machine.send("acquired")
            self._tokens.begin(row.epoch)
            logger.info("{} acquired in epoch {}", self.key, row.epoch)
        self._valid_until_s = max(self._valid_until_s, valid_until_s)
        renew_due_s = sent_s + self._timing.renew_s
        self._write_due_s = max(self._write_due_s, renew_due_s)
