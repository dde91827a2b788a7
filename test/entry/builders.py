"""Builders of test data for the entry process."""

import itertools

from acaciaspoke.config.schema import Rank, Upstream
from acaciaspoke.entry.request import Request
from acaciaspoke.entry.routing import Fleet
from acaciaspoke.net.records import UpstreamState, UpstreamView

_numbers = itertools.count(1)

RANKS = {
    "urgent": Rank(level=0, floor_share=0.1),
    "normal": Rank(level=1, floor_share=0.2),
    "batch": Rank(level=2, floor_share=0.1),
}


def request(rank="urgent", kind="chat", artifact="m1", **fields) -> Request:
    number = next(_numbers)
    defaults = {
        "request_id": f"r{number}",
        "account": "a1",
        "service": "draft",
        "body_hash": f"b{number}",
        "fingerprint": f"f{number}",
        "deadline_s": 60.0,
        "arrived_s": 0.0,
    }
    return Request(
        rank=rank, work_kind=kind, artifact=artifact, **(defaults | fields)
    )


def view(upstream, resident=("m1",), version="1", **fields) -> UpstreamView:
    defaults = {"state": UpstreamState.LIVE, "boot_id": f"{upstream}-boot"}
    return UpstreamView(
        upstream=upstream,
        resident=dict.fromkeys(resident, version),
        **(defaults | fields),
    )


def fleet(domains, slots=4, **view_fields) -> Fleet:
    """Returns live engines; ``domains`` maps them to failure domains."""
    result = Fleet(
        {
            name: Upstream(
                service="draft",
                failure_domain=domain,
                address="127.0.0.1:1",
                slots=slots,
            )
            for name, domain in domains.items()
        }
    )
    result.update([view(name, **view_fields) for name in domains], 0.0)
    return result
