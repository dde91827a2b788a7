"""Acquires and renews the lease of the failure domain."""

import random
import time

import anyio

from acaciaspoke.clients.table import TableClient
from acaciaspoke.control.lease import Lease
from acaciaspoke.control.lease_calls import execute_action
from acaciaspoke.control.membership import Membership
from acaciaspoke.util.rendezvous import choose

STEP_INTERVAL_S = 0.5

# Hosts of a failure domain that compete for its lease.
CANDIDATES = 3


class LeaseTask:
    """Executes the lease's reads and writes.

    Attributes:
        lease: The state of the lease.
    """

    def __init__(
        self,
        membership: Membership,
        table: TableClient,
        lease_s: float,
        rng: random.Random,
    ):
        me = membership.me
        self.lease = Lease(me.failure_domain, me.host, me.boot, lease_s, rng)
        self._membership = membership
        self._table = table

    async def run(self) -> None:
        """Steps the lease until cancelled."""
        while True:
            now_s = time.monotonic()
            action = self.lease.step(now_s, self._is_candidate())
            await execute_action(
                action, self.lease, self._table, time.monotonic
            )
            await anyio.sleep(STEP_INTERVAL_S)

    async def release(self) -> None:
        """Releases the lease, so that no other host waits for its expiry."""
        action = self.lease.release(time.monotonic())
        await execute_action(action, self.lease, self._table, time.monotonic)

    def _is_candidate(self) -> bool:
        hosts = [member.host for member in self._membership.live()]
        return self._membership.me.host in choose("lease", hosts, CANDIDATES)
