"""Tests of the accounting of an upstream's memory."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciaspoke.config.schema import Artifact
from acaciaspoke.control.reservations import (
    Answer,
    LineState,
    NoMemoryError,
    Order,
    Reservation,
    ReservationError,
    RowFormatError,
    apply_report,
    decode,
    encode,
    record_answer,
    reserve_load,
    reserve_unload,
)
from acaciaspoke.net.records import EngineReport, Resident
from standins.repository import RefusedError, Repository

MEMORY = 10
M1 = Artifact("m1", "1", 6)
M1_NEW = Artifact("m1", "2", 6)
M2 = Artifact("m2", "1", 4)
M3 = Artifact("m3", "1", 5)
A1 = Artifact("a1", "1", 1, "m2")


def order(name, token=1, after=1, boot="b1"):
    return Order(order_id=name, boot_id=boot, token=token, after_sequence=after)


def report(sequence, *loaded, boot="b1", recent=(), token=0):
    return EngineReport(
        boot_id=boot,
        sequence=sequence,
        resident=tuple(
            Resident(
                name=item.name,
                version=item.version,
                memory_bytes=item.memory_bytes,
            )
            for item in loaded
        ),
        recent_order_ids=recent,
        fencing_token=token,
    )


def empty(memory_bytes=MEMORY):
    return Reservation(upstream="u1", memory_bytes=memory_bytes, boot_id="b1")


def resolved(row, seen, *, checks=False, known="b1"):
    return apply_report(row, seen, known_boot=known, checks_fencing=checks)


def resident(*artifacts):
    row = empty(100)
    for number, artifact in enumerate(artifacts):
        row = reserve_load(row, artifact, order(f"o{number}"))
        row = record_answer(row, f"o{number}", Answer.ACKNOWLEDGED)
    return row


def states(row):
    return {
        (line.artifact.name, line.artifact.version): line.state
        for line in row.lines
    }


class AccountingTest(unittest.TestCase):

    def test_refuses_what_does_not_fit(self):
        row = reserve_load(empty(), M1, order("o1"))
        with self.assertRaises(NoMemoryError):
            reserve_load(row, M3, order("o2"))

    def test_old_and_new_version_both_hold_lines(self):
        """Guards against a version change that reserves memory for one."""
        row = reserve_load(resident(M1), M1_NEW, order("n"))
        self.assertEqual(row.reserved_bytes, 12)

    def test_adapter_needs_its_base_model(self):
        with self.assertRaises(ReservationError):
            reserve_load(empty(), A1, order("o1"))
        row = reserve_load(resident(M2), A1, order("a"))
        with self.assertRaises(ReservationError):
            reserve_unload(row, M2, order("u"))

    def test_order_of_another_boot_is_refused(self):
        """Guards against orders on the report of an earlier boot."""
        with self.assertRaises(ReservationError):
            reserve_load(empty(), M1, order("o1", boot="b0"))

    def test_row_survives_encoding(self):
        row = reserve_load(resident(M1, M2), A1, order("o9"))
        self.assertEqual(decode(encode(row)), row)
        with self.assertRaises(RowFormatError):
            decode(b"\x01")


class ProofTest(unittest.TestCase):

    def setUp(self):
        self.sent = reserve_load(empty(), M1, order("o1", token=5))

    def test_missing_order_id_frees_nothing_on_an_unfenced_engine(self):
        """Guards against freed memory of an order that is applied late."""
        self.assertEqual(resolved(self.sent, report(9, token=9)), self.sent)

    def test_raised_fence_frees_an_order_that_is_not_reported(self):
        """A raised fence refuses late orders of a former lease holder."""
        same_token = resolved(self.sent, report(9, token=5), checks=True)
        self.assertEqual(same_token, self.sent)
        raised = resolved(self.sent, report(9, token=6), checks=True)
        self.assertEqual(raised.lines, ())

    def test_order_id_in_a_report_proves_residency(self):
        row = resolved(self.sent, report(9, M1, recent=("o1",)))
        self.assertEqual(states(row), {("m1", "1"): LineState.RESIDENT})

    def test_new_boot_frees_but_a_late_report_of_a_former_boot_does_not(self):
        fresh = resolved(self.sent, report(1, boot="b2"))
        self.assertEqual((fresh.lines, fresh.boot_id), ((), "b2"))
        late = resolved(self.sent, report(99, boot="b0"), known="b0")
        self.assertEqual(late, self.sent)

    def test_late_load_keeps_its_memory_after_an_unload(self):
        """Guards against freed memory that a late order still uses."""
        row = reserve_load(self.sent, M1, order("o2"))
        row = record_answer(row, "o2", Answer.ACKNOWLEDGED)
        row = reserve_unload(row, M1, order("u"))
        row = record_answer(row, "u", Answer.ACKNOWLEDGED)
        self.assertEqual(states(row), {("m1", "1"): LineState.UNRESOLVED})
        self.assertEqual(row.reserved_bytes, 6)

    def test_report_older_than_an_unload_proves_nothing(self):
        row = reserve_unload(resident(M1), M1, order("u", after=7))
        self.assertEqual(resolved(row, report(7)), row)
        self.assertEqual(resolved(row, report(8)).lines, ())

    def test_report_from_before_a_late_load_proves_nothing(self):
        """Reports may be applied in another order than they were made."""
        row = reserve_load(self.sent, M1, order("o2"))
        row = record_answer(row, "o2", Answer.ACKNOWLEDGED)
        row = reserve_unload(row, M1, order("u"))
        acknowledged = record_answer(row, "o1", Answer.ACKNOWLEDGED)
        row = resolved(row, report(9, M1, recent=("o1",)))
        self.assertEqual(resolved(row, report(5)).reserved_bytes, 6)
        self.assertEqual(resolved(acknowledged, report(5)).reserved_bytes, 6)

    def test_unsent_order_frees_its_line(self):
        row = record_answer(self.sent, "o1", Answer.NOT_SENT)
        self.assertEqual(row.lines, ())


class World:
    """Lease holders, orders in transit and an engine.

    Steps never block: an order may stay with a paused sender or in transit for
    any number of steps.
    """

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.engine = Repository(MEMORY, checks_fencing)
        self.boot, self.sequence, self.epoch, self.ids = "b1", 0, 1, 0
        self.revision = 0
        self.row = Reservation(upstream="u1", memory_bytes=MEMORY)
        self.held, self.in_transit, self.answers = [], [], []
        self.reports, self.link = [], None

    def read_report(self):
        self.sequence += 1
        document = self.engine.report() | {
            "boot_id": self.boot,
            "sequence": self.sequence,
        }
        seen = msgspec.convert(document, EngineReport)
        self.reports.append((seen, self.row.boot_id))
        return seen

    def write(self, row):
        self.row = row
        self.revision += 1

    def open_link(self, _=0):
        self.link = (self.epoch, self.revision, self.row, self.read_report())

    def reserve(self, verb, artifact):
        """Reserves on the open link; the sender holds the order back.

        Returns whether the reservation is in the table.
        """
        epoch, revision, row, seen = self.link
        row = resolved(row, seen, checks=self.checks_fencing, known=row.boot_id)
        self.ids += 1
        new = Order(
            order_id=f"o{self.ids}",
            boot_id=seen.boot_id,
            token=max(epoch << 8, seen.fencing_token),
            after_sequence=seen.sequence,
        )
        change = reserve_load if verb == "load" else reserve_unload
        try:
            row = change(row, artifact, new)
        except ReservationError:
            return False
        if (epoch, revision) != (self.epoch, self.revision):
            return False  # the transaction's comparison fails
        self.write(row)
        self.held.append((epoch, verb, artifact, new))
        return True

    def order(self, pick, verb, progress):
        """Opens a link and takes an order as far as ``progress`` says."""
        self.open_link()
        if not self.reserve(verb, ARTIFACTS[pick]) or progress == "held":
            return
        if self.send(0) and progress == "done":
            self.deliver(0)
            self.record(0)

    def load_on_old_link(self, pick):
        if self.link:
            self.reserve("load", ARTIFACTS[pick])

    def send(self, age, table_answer_lost=False):
        """Sends an order that was held back; TCP ties it to one boot.

        If the table's answer was lost, it is not sent.
        """
        message = pop_by_age(self.held, age)
        if not message:
            return False
        if message[3].boot_id == self.boot and not table_answer_lost:
            self.in_transit.append(message)
            return True
        self.answers.append((message[0], message[3].order_id, Answer.NOT_SENT))
        return False

    def deliver(self, age, is_answered=True):
        message = pop_by_age(self.in_transit, age)
        if not message or message[3].boot_id != self.boot:
            return
        epoch, verb, artifact, sent = message
        apply = self.engine.load if verb == "load" else self.engine.unload
        parameters = {
            "order_id": sent.order_id,
            "fencing_token": sent.token,
            "version": artifact.version,
            "memory_bytes": artifact.memory_bytes,
        }
        answer = Answer.ACKNOWLEDGED
        try:
            apply(artifact.name, parameters)
        except RefusedError:
            answer = Answer.REFUSED
        if is_answered:
            self.answers.append((epoch, sent.order_id, answer))

    def lose(self, age):
        pop_by_age(self.in_transit, age)

    def record(self, age):
        answer = pop_by_age(self.answers, age)
        if answer and answer[0] == self.epoch:
            self.write(record_answer(self.row, *answer[1:]))

    def report(self, _=0):
        self.read_report()
        self.late_report(0)

    def late_report(self, age):
        if self.reports:
            seen, known = self.reports[-1 - min(age, len(self.reports) - 1)]
            row = resolved(
                self.row, seen, checks=self.checks_fencing, known=known
            )
            if row != self.row:
                self.write(row)

    def fence(self, _):
        self.engine.fence(max(self.epoch << 8, self.engine.fencing_token + 1))

    def take_over(self, _):
        self.epoch += 1

    def crash(self, _):
        self.engine = Repository(MEMORY, self.checks_fencing)
        self.boot, self.sequence = f"b{int(self.boot[1:]) + 1}", 0


def pop_by_age(items, age):
    return items.pop(-1 - min(age, len(items) - 1)) if items else None


# Any two of them exceed the memory.
ARTIFACTS = (M1, M1, M1_NEW, Artifact("m4", "1", 7))

STEPS = [
    *(
        ("order", {"verb": verb, "progress": progress})
        for verb in ("load", "unload")
        for progress in ("held", "sent", "done")
    ),
    *((name, {}) for name in ("load_on_old_link", "open_link", "send")),
    *((name, {}) for name in ("lose", "record", "deliver", "deliver")),
    *((name, {}) for name in ("report", "late_report") * 2),
    *((name, {}) for name in ("fence", "take_over", "crash")),
    ("send", {"table_answer_lost": True}),
    ("deliver", {"is_answered": False}),
]

sequences = st.lists(
    st.tuples(st.sampled_from(STEPS), st.integers(0, 3)),
    min_size=20,
    max_size=40,
)

# If orders were freed because a report does not list them, this number of
# examples would show an overcommit.
bounded = settings(
    derandomize=True, max_examples=600, deadline=None, database=None
)


class MemoryTest(unittest.TestCase):
    """Guards against overcommitted memory after any losses and restarts."""

    def check_sequence(self, steps, *, checks_fencing):
        world = World(checks_fencing)
        for (name, options), pick in steps:
            getattr(world, name)(pick, **options)
            self.assertEqual(world.engine.overcommits, 0, "in the engine")
            self.assertLessEqual(world.row.reserved_bytes, MEMORY, "in the row")

    @bounded
    @given(sequences)
    def test_engine_that_ignores_fencing(self, steps):
        self.check_sequence(steps, checks_fencing=False)

    @bounded
    @given(sequences)
    def test_engine_that_checks_fencing(self, steps):
        self.check_sequence(steps, checks_fencing=True)
