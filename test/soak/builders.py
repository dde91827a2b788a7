"""Builders of streams and of their runs, for tests of checks."""

from soak.streams import Stream, Try
from soak.takeovers import EngineRun
from standins.kv_engine import count_events, encode_event


def make_events(last: int) -> list[bytes]:
    """Returns the first events of the stream s0."""
    numbers = range(1, last + 1)
    return [encode_event("s0", one).removesuffix(b"\n\n") for one in numbers]


def make_stream(**changes) -> Stream:
    """Returns the stream s0, which is whole."""
    one = Try(
        id="s0-0",
        gateway=0,
        last_event=0,
        resumes="",
        sent_s=9.9,
        ended_s=13.1,
        status=200,
        events=make_events(count_events("s0")),
        is_complete=True,
    )
    for name, value in changes.items():
        setattr(one, name, value)
    return Stream("s0", [one])


def make_run(**changes) -> EngineRun:
    """Returns the run of the stream s0 at its first engine."""
    run = EngineRun("s0-0", 1, is_afresh=True, begin_s=9.0, end_s=12.0)
    return run._replace(**changes)
