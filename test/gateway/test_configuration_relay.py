"""Tests of acaciaspoke.gateway.configuration_relay."""

import unittest

from acaciaspoke.gateway.configuration_relay import ConfigurationRelay
from acaciaspoke.gateway.messages import RowAnswer, RowRequest
from acaciaspoke.ids import HostId

H1, H2, H3 = HostId("h1"), HostId("h2"), HostId("h3")


class ConfigurationRelayTest(unittest.TestCase):

    def setUp(self):
        self.applied: list[bytes | None] = []
        self.posted: list[tuple[RowRequest | RowAnswer, list[HostId]]] = []
        self.relay = ConfigurationRelay(
            H1,
            lambda rows, _: self.applied.extend(row.value for row in rows),
            lambda message, hosts: self.posted.append((message, list(hosts))),
        )
        self.request = RowRequest(host=H2, key="op/config", number=0)
        self.answer = RowAnswer(
            host=H2, asked_by=H1, key="op/config", number=0, value=b"{}"
        )

    def test_host_that_asks_gets_the_value_in_force(self):
        self.relay.record(b"1")
        self.relay.record(b"2")
        self.assertTrue(self.relay.handle_request(self.request))
        ((answer, hosts),) = self.posted
        self.assertEqual([H2], hosts)
        self.assertEqual((H2, b"2"), (answer.asked_by, answer.value))

    def test_host_without_a_configuration_does_not_answer(self):
        self.assertTrue(self.relay.handle_request(self.request))
        self.assertEqual([], self.posted)

    def test_request_goes_to_the_host_with_a_newer_configuration(self):
        self.relay.request([H3])
        ((request, hosts),) = self.posted
        self.assertEqual(([H3], None), (hosts, request.value))
        self.assertEqual("op/config", request.key)

    def test_answer_is_applied(self):
        self.assertTrue(self.relay.handle_answer(self.answer))
        self.assertEqual([b"{}"], self.applied)

    def test_answers_for_others_and_empty_ones_are_not_applied(self):
        for changes in ({"asked_by": H3}, {"value": b""}):
            fields = {"asked_by": H1, "value": b"{}", **changes}
            answer = RowAnswer(host=H2, key="op/config", number=0, **fields)
            self.assertTrue(self.relay.handle_answer(answer))
        self.assertEqual([], self.applied)

    def test_other_rows_are_left_to_the_lease(self):
        lease = RowRequest(host=H2, key="lease/engines", number=1)
        self.assertFalse(self.relay.handle_request(lease))
        answer = RowAnswer(host=H2, asked_by=H1, key=lease.key, number=1)
        self.assertFalse(self.relay.handle_answer(answer))
        self.assertEqual(([], []), (self.posted, self.applied))
