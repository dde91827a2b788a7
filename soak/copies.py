"""Checks that copies of runs are freed at the engines that hold them."""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from soak.streams import Stream
from soak.takeovers import Runs
from standins.kv_copies import Release

# How long a copy is held at most after its run has ended whole, beside the time
# in which an engine is silent.
MAX_HELD_S = 3.0


class Copy(NamedTuple):
    """A copy of a run at another engine (``standins.kv_copies``).

    Attributes:
        id: The id of the run.
        engine: Number of the engine that held it.
        release: Why it is not held any more; None if it is.
    """

    id: str
    engine: int
    begin_s: float
    end_s: float = math.inf
    release: Release | None = None


def read_copies(lines: Mapping[int, Iterable[str]]) -> Iterator[Copy]:
    """Yields the copies from the lines of each engine, by number."""
    for engine, of_engine in lines.items():
        held: dict[str, Copy] = {}
        for words in map(str.split, of_engine):
            if words[:1] == ["copied"]:
                _, name, request_id, _, at = words
                held[name] = Copy(request_id, engine, float(at))
            elif words[:1] == ["released"]:
                _, name, release, _, at = words
                yield held.pop(name)._replace(
                    end_s=float(at), release=Release(release)
                )
        yield from held.values()


def find_kept_copies(
    copies: Iterable[Copy],
    streams: Iterable[Stream],
    runs: Runs,
    max_held_s: float,
    now_s: float,
) -> Iterator[str]:
    """Yields a line for each copy that was held without need.

    Args:
        copies: The copies.
        streams: The streams, with one request each.
        runs: The runs of each id in the order of their begins.
        max_held_s: How long a copy may be held after its run.
        now_s: When the lines of engines were read.
    """
    tries = itertools.chain.from_iterable(each.tries for each in streams)
    whole = {one.id for one in tries if one.is_complete}
    for copy in copies:
        of_id = runs.get(copy.id, ())
        if copy.id not in whole or len(of_id) != 1:
            continue
        held_s = min(copy.end_s, now_s) - of_id[0].end_s
        if held_s > max_held_s:
            yield f"a copy was held for {held_s:.2f} s: {copy} of {of_id[0]}"


def summarize(copies: Iterable[Copy]) -> str:
    """Returns how many copies were made, and what became of them."""
    copies = list(copies)
    counts = Counter(copy.release for copy in copies)
    ends = [f"{counts[one]} {one.value}" for one in Release]
    return f"{len(copies)} copies of runs: {', '.join(ends)}"
