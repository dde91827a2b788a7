"""Tests of the lease on a virtual clock and a table with injected faults."""

import itertools
import random
import unittest

import anyio
import msgspec

from acaciaspoke.clients.table import Conflict, Put, Row, Transaction
from acaciaspoke.control.fencing import EPOCH_SHIFT, EPOCHS_PER_ERA
from acaciaspoke.control.lease import Lease, LeaseState
from acaciaspoke.control.lease_calls import execute_action
from acaciaspoke.control.lease_errors import LeaseNotHeldError
from acaciaspoke.control.lease_row import LeaseRow, Write
from acaciaspoke.ids import BootId, DomainId, HostId
from test.fakes_table import FakeTable, Fault
from test.virtualtime import run

LEASE_S = 10.0


class Host:
    """A process's lease and the loop that steps it."""

    def __init__(self, number: int, table: FakeTable, candidate=True):
        self.table = table
        self.candidate = candidate
        self.paused_until_s = 0.0
        self.lease = Lease(
            DomainId("a"),
            HostId(f"h{number}"),
            BootId(f"b{number}"),
            LEASE_S,
            random.Random(number),
        )

    @property
    def held(self) -> bool:
        return self.lease.is_held(anyio.current_time())

    async def loop(self):
        while True:
            pause_s = self.paused_until_s - anyio.current_time()
            await anyio.sleep(max(pause_s, 0.1))
            now_s = anyio.current_time()
            await self.execute(self.lease.step(now_s, self.candidate))

    async def execute(self, action):
        # A pause may also fall between a decision and its execution.
        await anyio.sleep(max(self.paused_until_s - anyio.current_time(), 0))
        await execute_action(action, self.lease, self.table, anyio.current_time)


async def wait_until(condition, limit_s: float) -> float:
    start_s = anyio.current_time()
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.05)
    return anyio.current_time() - start_s


def with_hosts_running(count: int, **table):
    """Runs a test coroutine with ``count`` competing hosts."""

    def wrap(test):
        async def main(self):
            shared = FakeTable(**table)
            hosts = [Host(number, shared) for number in range(count)]
            async with anyio.create_task_group() as group:
                for host in hosts:
                    group.start_soon(host.loop)
                await test(self, shared, hosts)
                group.cancel_scope.cancel()

        def wrapped(self):
            run(main, self)

        wrapped.__name__, wrapped.__doc__ = test.__name__, test.__doc__
        return wrapped

    return wrap


async def wait_for_holder(hosts: list[Host], limit_s: float = 5) -> Host:
    await wait_until(lambda: any(host.held for host in hosts), limit_s)
    [holder] = [host for host in hosts if host.held]
    return holder


class RestoredTableTest(unittest.TestCase):

    def test_epoch_is_above_those_that_a_restore_lost(self):
        """Also after more changes of the holder than an era has epochs."""
        for known_epoch in (3, 5 * EPOCHS_PER_ERA):
            lease = Lease(
                DomainId("a"),
                HostId("h1"),
                BootId("b1"),
                LEASE_S,
                random.Random(1),
                table_era=lambda: 2,
            )
            copied = LeaseRow(
                holder=HostId("h2"),
                boot=BootId("b2"),
                epoch=known_epoch,
                era=1,
            )
            value = msgspec.json.encode(copied)
            lease.on_row(Row(lease.key, value, 7, 7), 0.0)
            write = lease.step(3 * LEASE_S, candidate=True)
            lost_epoch = known_epoch + 10
            self.assertGreater(write.row.epoch, lost_epoch)


class LeaseTest(unittest.TestCase):

    @with_hosts_running(3)
    async def test_one_holder_that_renews(self, table, hosts):
        """Guards against a holder that loses the lease without any fault."""
        holder = await wait_for_holder(hosts)
        for _ in range(600):
            await anyio.sleep(0.1)
            self.assertEqual([h for h in hosts if h.held], [holder])

    @with_hosts_running(2)
    async def test_paused_holder_does_not_act_on_an_expired_lease(
        self, table, hosts
    ):
        """Guards against a resumed process that still acts as the holder."""
        holder = await wait_for_holder(hosts)
        [other] = [host for host in hosts if host is not holder]
        now_s = anyio.current_time()
        condition = holder.lease.condition(now_s)
        token = holder.lease.next_token(now_s)
        holder.paused_until_s = now_s + 30
        waited_s = await wait_until(lambda: other.held, 15)
        self.assertGreater(waited_s, LEASE_S - 3)
        # The process has resumed but not stepped: the state is out of date.
        self.assertIs(holder.lease.state, LeaseState.HOLDER)
        self.assertFalse(holder.held)
        with self.assertRaises(LeaseNotHeldError):
            holder.lease.next_token(anyio.current_time())
        late = Transaction((condition,), (Put("reservation/u", b""),))
        self.assertIsInstance(await table.commit(late), Conflict)
        newer = other.lease.next_token(anyio.current_time())
        self.assertGreater(newer, token)
        await anyio.sleep(60)
        self.assertEqual([h for h in hosts if h.held], [other])

    @with_hosts_running(3)
    async def test_holder_reacquires_first_after_a_table_outage(
        self, table, hosts
    ):
        """Guards against a needless change of holder after an outage.

        Another host acquired the lease, and engines got no orders for another
        3 s.
        """
        holder = await wait_for_holder(hosts)
        table.faults = [Fault.NOT_WRITTEN] * 1000
        await anyio.sleep(3 * LEASE_S)
        self.assertFalse(holder.held)
        table.faults.clear()
        await wait_until(lambda: any(host.held for host in hosts), LEASE_S)
        self.assertTrue(holder.held)

    @with_hosts_running(2)
    async def test_renewals_with_lost_responses(self, table, hosts):
        """Guards against a holder that drops a lease that it has renewed."""
        holder = await wait_for_holder(hosts)
        table.faults = [Fault.WRITTEN_ANSWER_LOST, Fault.LOST] * 10
        for _ in range(400):
            await anyio.sleep(0.1)
            self.assertTrue(holder.held)
        self.assertLess(len(table.faults), 10)

    @with_hosts_running(1)
    async def test_renewal_that_arrives_late(self, table, hosts):
        """Guards against taking a late write of one's own for a takeover."""
        holder = await wait_for_holder(hosts)
        table.faults = [Fault.ARRIVES_LATE]
        await wait_until(lambda: table.late, 5)
        # The row was read back unchanged, and the next renewal is in flight.
        await anyio.sleep(0.5)
        table.deliver_delayed_writes()
        for _ in range(200):
            await anyio.sleep(0.1)
            self.assertTrue(holder.held)
        token = holder.lease.next_token(anyio.current_time())
        self.assertEqual(token >> EPOCH_SHIFT, 1)

    @with_hosts_running(1)
    async def test_acquisition_that_arrives_after_its_expiry(
        self, table, hosts
    ):
        """Guards against validity that counts from the response."""
        table.faults = [Fault.ARRIVES_LATE] + [Fault.NOT_WRITTEN] * 30
        await wait_until(lambda: table.late, 5)
        await anyio.sleep(LEASE_S)
        table.deliver_delayed_writes()
        await anyio.sleep(3)
        self.assertFalse(hosts[0].held)
        holder = await wait_for_holder(hosts, 60)
        token = holder.lease.next_token(anyio.current_time())
        self.assertEqual(token >> EPOCH_SHIFT, 2)

    @with_hosts_running(1, write_s=4.0)
    async def test_validity_counts_from_sending(self, table, hosts):
        """Guards against a slow response that extends the lease."""
        holder = await wait_for_holder(hosts, 20)
        sent_s = anyio.current_time() - 4.0
        table.is_unavailable = True
        await wait_until(lambda: not holder.held, 20)
        self.assertLess(anyio.current_time(), sent_s + LEASE_S)

    @with_hosts_running(2)
    async def test_released_lease_is_acquired_at_once(self, table, hosts):
        """Guards against a planned stop that leaves no holder until expiry."""
        holder = await wait_for_holder(hosts)
        token = holder.lease.next_token(anyio.current_time())
        action = holder.lease.release(anyio.current_time())
        self.assertIsInstance(action, Write)
        self.assertFalse(holder.held)
        await holder.execute(action)
        other = await wait_for_holder(hosts, 3)
        self.assertIsNot(other, holder)
        newer = other.lease.next_token(anyio.current_time())
        self.assertGreater(newer, token)

    @with_hosts_running(2)
    async def test_candidates_acquire_before_other_hosts(self, table, hosts):
        """Guards against all hosts of a domain writing the row at once."""
        hosts[0].candidate = False
        self.assertIs(await wait_for_holder(hosts), hosts[1])
        hosts[1].paused_until_s = float("inf")
        await wait_until(lambda: hosts[0].held, 4 * LEASE_S)

    def test_never_two_holders(self):
        """Guards against overlapping leases and decreasing fencing tokens."""
        for seed in range(20):
            with self.subTest(seed=seed):
                run(self.check_exclusion_with_seed, seed)

    async def check_exclusion_with_seed(self, seed: int):
        rng = random.Random(seed)
        table = FakeTable(write_s=0.3)
        hosts = [Host(number, table) for number in range(3)]
        tokens = [0]
        holders = set()
        async with anyio.create_task_group() as group:
            for host in hosts:
                group.start_soon(host.loop)
            for step in itertools.count():
                await anyio.sleep(0.05)
                now_s = anyio.current_time()
                held = [host for host in hosts if host.held]
                self.assertLessEqual(len(held), 1)
                if held:
                    holders.add(held[0])
                    tokens.append(held[0].lease.next_token(now_s))
                    self.assertGreater(tokens[-1], tokens[-2])
                if step % 40 == 0:
                    table.deliver_delayed_writes()
                    table.faults = rng.choices(
                        [None, *Fault], weights=[4, 1, 1, 1, 1], k=5
                    )
                    victim = rng.choice(hosts)
                    victim.paused_until_s = now_s + rng.uniform(0, 15)
                if now_s > 400:
                    break
            group.cancel_scope.cancel()
        self.assertGreater(len(holders), 1)
        self.assertGreater(len(tokens), 100)
