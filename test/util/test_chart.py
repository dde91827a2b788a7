"""Tests of the state chart interpreter."""

import unittest
from enum import Enum

from acaciaspoke.util.chart import ChartError, StateMachine


class Lease(Enum):
    FOLLOWER = "follower"
    HOLDER = "holder"


class MachineTest(unittest.TestCase):

    def test_follows_transitions(self):
        machine = StateMachine("lease", Lease)
        self.assertIs(machine.send("acquired"), Lease.HOLDER)
        self.assertIs(machine.send("lapsed"), Lease.FOLLOWER)

    def test_rejected_event_keeps_the_state(self):
        """Guards against a transition on an event out of order."""
        machine = StateMachine("lease", Lease)
        with self.assertRaises(ChartError):
            machine.send("renewed")
        self.assertIs(machine.state, Lease.FOLLOWER)

    def test_rejects_states_that_differ_from_the_chart(self):
        """Guards against a chart file and an Enum that diverge."""

        class Wrong(Enum):
            FOLLOWER = "follower"

        with self.assertRaises(ChartError):
            StateMachine("lease", Wrong)
