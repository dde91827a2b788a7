"""Tests of the worker that the soak test runs as a process."""

import unittest

import msgspec

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.documents import decode_upstream
from standins.worker import Worker
from standins.worker_process import Registration


class RegistrationTest(unittest.TestCase):

    def setUp(self):
        self.worker = Worker("app1", "app", "127.0.0.1:1")
        self.registration = Registration(
            self.worker, "127.0.0.1:2", "127.0.0.1:3"
        )
        self.fleet = Fleet()

    def _is_draining(self) -> bool:
        name = UpstreamId("app1")
        value = msgspec.json.encode(self.registration.row())
        self.fleet.put(decode_upstream(name, value))
        return self.fleet.upstreams[name].is_draining

    def test_worker_that_left_and_came_back_is_used(self):
        # Gateways never use a process again that has said that it leaves.
        self.assertFalse(self._is_draining())
        for _ in range(2):
            self.registration.toggle()
            self.assertTrue(self._is_draining())
            self.registration.toggle()
            self.assertFalse(self._is_draining())
