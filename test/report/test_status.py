"""Tests of the status document."""

import unittest

import msgspec

from acaciaspoke.config.schema import Config, Model, Upstream
from acaciaspoke.net.messages import EntryHello
from acaciaspoke.net.records import (
    Member,
    MemberState,
    UpstreamState,
    UpstreamView,
)
from acaciaspoke.report.status import (
    LeaseStatus,
    Status,
    make_status,
    status_table,
)


def member(host, domain="d1", version=7, state=MemberState.ALIVE):
    return Member(
        host=host,
        boot="b",
        failure_domain=domain,
        address="tcp://127.0.0.1:1",
        admin_address="127.0.0.1:2",
        config_version=version,
        state=state,
    )


def upstream(domain):
    return Upstream(
        service="chat", failure_domain=domain, address="127.0.0.1:3"
    )


def sample_status():
    config = Config(
        version=7,
        models={name: Model(service="chat", memory_bytes=1) for name in "mn"},
        upstreams={"u1": upstream("d1"), "u2": upstream("d2")},
    )
    return make_status(
        local_member=member("h1"),
        config=config,
        members=[
            member("h2", "d2", 6),
            member("h3", "d1", 2, MemberState.DEAD),
        ],
        leases={"d1": LeaseStatus(holder="h1", epoch=4)},
        upstreams=[
            UpstreamView(
                upstream="u1",
                state=UpstreamState.LIVE,
                boot_id="b1",
                resident={"m": "1", "x": "1", "y": "1", "z": "1", "q": "1"},
                report_age_s=0.5,
            )
        ],
        entries=[
            EntryHello(
                address="tcp://127.0.0.1:9",
                boot="b",
                config_version=7,
                queued={"urgent": 3},
            )
        ],
    )


class StatusTest(unittest.TestCase):

    def test_groups_by_failure_domain(self):
        """Guards against omitting an upstream that nobody reported."""
        status = sample_status()
        one, two = status.domains
        self.assertEqual([host.host for host in one.hosts], ["h1", "h3"])
        self.assertEqual(one.copies["m"], 1)
        self.assertIsNone(two.lease)
        self.assertIs(two.upstreams[0].state, UpstreamState.UNKNOWN)
        self.assertIsNone(two.upstreams[0].report_age_s)
        self.assertEqual(status.absent_models, ("n",))

    def test_versions_leave_out_dead_hosts(self):
        """Guards against a rollout that appears to wait for a dead host."""
        self.assertEqual(sample_status().versions, {6: 1, 7: 1})

    def test_round_trips_through_json(self):
        """Guards against integer keys that are decoded as strings."""
        data = msgspec.json.encode(sample_status())
        self.assertEqual(
            msgspec.json.decode(data, type=Status), sample_status()
        )

    def test_table(self):
        """Guards against omitting parts of the document."""
        text = status_table(sample_status())
        for part in (
            "lease holder: h1, epoch 4",
            "lease holder: nobody",
            "versions in force (hosts): 6 (1), 7 (1)",
            "models without a copy: n",
            "m, q, x, y and 1 more",
            "urgent 3",
        ):
            self.assertIn(part, text)
