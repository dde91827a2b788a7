"""Service-level windows that an entry process keeps per rank and service.

Three ring buffers of time slices cover the last 5 min, 6 h and 3 days. A
request is recorded in the open slice of the finest ring; a slice that closes is
encoded and added to the open slice of the next ring. Each slice lies within one
slice of the next ring, so no request is counted twice.

Memory of one rank and service: 86 KB of open histograms, and up to 174 closed
slices of two encoded histograms. Three full days of one stream's times take
165 KB in all (``bench.recording``). A closed histogram in which every bucket is
used takes 3.4 KB, so the upper bound is 1.3 MB, and 82 MB for ``MAX_SERIES``.
"""

import collections
import itertools
from collections.abc import Iterator
from typing import NamedTuple

import anyio

from acaciaspoke.config.schema import Rank
from acaciaspoke.ids import RankId, ServiceId
from acaciaspoke.net.records import ServiceTrend, ServiceWindow
from acaciaspoke.report.hdr import (
    add_counts,
    add_encoded,
    encode_histogram,
    new_histogram,
)

# Windows of the burn report.
WINDOWS_S = (300.0, 3600.0, 6 * 3600.0, 3 * 86400.0)

# Pairs of rank and service. They come from the configuration; the limit keeps
# a mistake there from exhausting the memory of the entry process.
MAX_SERIES = 64

# Distinct values buffered in dictionaries before they go to the histograms.
MAX_PENDING_VALUES = 4096

# Closed slices that a collection adds, at 100 us each, before it yields to
# other tasks.
SLICES_PER_STEP = 10

GAP_UNITS_PER_S = 10_000
FIRST_TOKEN_UNITS_PER_S = 1_000

# Share of a stream's token gaps that must be within the target. A single slow
# gap, such as from another request's prefill, does not fail a long stream.
GAPS_IN_TARGET_SHARE = 0.95


class RingShape(NamedTuple):
    """The length of a ring's slices and the number of closed ones it keeps."""

    slice_s: float
    slices: int


RINGS = (RingShape(10.0, 30), RingShape(300.0, 72), RingShape(3600.0, 72))


class TokenGaps:
    """The gaps between the tokens of one stream.

    Recording a token is one dictionary update. A histogram takes 2.6 us for
    each value, so it is updated only once per distinct value and slice.
    """

    __slots__ = ("_last_s", "counts")

    def __init__(self, first_token_at_s: float):
        self._last_s = first_token_at_s
        self.counts: dict[int, int] = {}

    def record_token(self, now_s: float) -> None:
        """Records a token after the first."""
        gap = int((now_s - self._last_s) * GAP_UNITS_PER_S)
        self._last_s = now_s
        counts = self.counts
        counts[gap] = counts.get(gap, 0) + 1

    def meets_target(self, target_ms: float) -> bool:
        """Returns whether enough of the gaps are within the target."""
        limit = target_ms * GAP_UNITS_PER_S / 1000
        within = sum(n for gap, n in self.counts.items() if gap <= limit)
        return within >= GAPS_IN_TARGET_SHARE * sum(self.counts.values())


class _RequestCounts:
    """Counts and histograms of requests in an open slice or a window."""

    def __init__(self, start_s: float):
        self.start_s = start_s
        self.good = 0
        self.total = 0
        self.first_token = new_histogram()
        self.token_gap = new_histogram()

    def add(self, other: "_RequestCounts") -> None:
        """Adds the requests of another open slice."""
        self.good += other.good
        self.total += other.total
        self.first_token.add(other.first_token)
        self.token_gap.add(other.token_gap)

    def add_slice(self, other: "_ClosedSlice") -> None:
        """Adds the requests of a closed slice."""
        self.good += other.good
        self.total += other.total
        add_encoded(self.first_token, other.first_token)
        add_encoded(self.token_gap, other.token_gap)

    def close(self) -> "_ClosedSlice":
        """Returns the encoded slice."""
        return _ClosedSlice(
            self.start_s,
            self.good,
            self.total,
            encode_histogram(self.first_token),
            encode_histogram(self.token_gap),
        )


class _ClosedSlice(NamedTuple):
    """Requests of one closed slice."""

    start_s: float
    good: int
    total: int
    first_token: bytes
    token_gap: bytes


class _Ring:
    """The closed slices of one length and the open one."""

    def __init__(self, shape: RingShape, now_s: float):
        self.shape = shape
        self.closed: collections.deque[_ClosedSlice] = collections.deque(
            maxlen=shape.slices
        )
        self.open = _RequestCounts(self._slice_start_s(now_s))

    def _slice_start_s(self, now_s: float) -> float:
        return now_s // self.shape.slice_s * self.shape.slice_s

    def advance(self, now_s: float) -> _RequestCounts | None:
        """Closes the open slice once it has ended; returns it if not empty."""
        start_s = self._slice_start_s(now_s)
        if start_s <= self.open.start_s:
            return None
        ended = self.open
        if ended.total:
            self.closed.append(ended.close())
        self.open = _RequestCounts(start_s)
        return ended if ended.total else None

    def closed_within(
        self, window_s: float, now_s: float
    ) -> Iterator[_ClosedSlice]:
        """Yields the closed slices that started within the window."""
        oldest_s = now_s - window_s
        return (item for item in self.closed if item.start_s >= oldest_s)


class _Series:
    """The rings of one rank and service."""

    def __init__(self, now_s: float):
        self.started_s = now_s
        self.rings = [_Ring(shape, now_s) for shape in RINGS]
        self._pending_first_tokens: dict[int, int] = {}
        self._pending_gaps: dict[int, int] = {}

    def record(
        self,
        now_s: float,
        good: bool,
        first_token_s: float | None,
        gaps: TokenGaps | None,
    ) -> None:
        self.advance(now_s)
        counts = self.rings[0].open
        counts.total += 1
        counts.good += good
        if first_token_s is not None:
            value = int(first_token_s * FIRST_TOKEN_UNITS_PER_S)
            pending = self._pending_first_tokens
            pending[value] = pending.get(value, 0) + 1
        if gaps is not None:
            pending = self._pending_gaps
            for value, count in gaps.counts.items():
                pending[value] = pending.get(value, 0) + count
        if (
            len(self._pending_gaps) + len(self._pending_first_tokens)
            > MAX_PENDING_VALUES
        ):
            self._flush()

    def _flush(self) -> None:
        add_counts(self.rings[0].open.first_token, self._pending_first_tokens)
        add_counts(self.rings[0].open.token_gap, self._pending_gaps)
        self._pending_first_tokens.clear()
        self._pending_gaps.clear()

    def advance(self, now_s: float) -> None:
        """Closes the slices that have ended, finest ring first."""
        if now_s < self.rings[0].open.start_s + RINGS[0].slice_s:
            return
        self._flush()
        for finer, coarser in itertools.pairwise([*self.rings, None]):
            ended = finer.advance(now_s)
            if ended is not None and coarser is not None:
                coarser.open.add(ended)

    async def window(self, window_s: float, now_s: float) -> _RequestCounts:
        """Returns the sums of a window that ends now."""
        self.advance(now_s)
        self._flush()
        index = next(
            index
            for index, (slice_s, slices) in enumerate(RINGS)
            if slice_s * slices >= window_s
        )
        total = _RequestCounts(now_s)
        # The open slices of finer rings are not in the coarser ring yet.
        for ring in self.rings[: index + 1]:
            total.add(ring.open)
        # Copied, because requests may be recorded during the checkpoints.
        closed = list(self.rings[index].closed_within(window_s, now_s))
        for first in range(0, len(closed), SLICES_PER_STEP):
            await anyio.lowlevel.checkpoint()
            for item in closed[first : first + SLICES_PER_STEP]:
                total.add_slice(item)
        return total

    def memory_bytes(self) -> int:
        """Returns the size of the open and closed histograms."""
        opened = sum(
            histogram.counts_len * histogram.get_word_size()
            for ring in self.rings
            for histogram in (ring.open.first_token, ring.open.token_gap)
        )
        closed = sum(
            len(item.first_token) + len(item.token_gap)
            for ring in self.rings
            for item in ring.closed
        )
        return opened + closed


class ServiceWindows:
    """The service-level windows of one entry process.

    Attributes:
        dropped_requests: Requests not counted because the limit of ranks and
            services was reached.
    """

    def __init__(self):
        self._series: dict[tuple[RankId, ServiceId], _Series] = {}
        self.dropped_requests = 0

    def record(
        self,
        rank_id: RankId,
        rank: Rank,
        service: ServiceId,
        now_s: float,
        *,
        succeeded: bool,
        first_token_s: float | None = None,
        gaps: TokenGaps | None = None,
    ) -> None:
        """Records a finished request.

        Requests that the system rejected or failed count as not good. Requests
        that the caller cancelled and invalid requests must not be recorded.

        Args:
            rank_id: The request's rank.
            rank: The rank with the targets in force.
            service: The service that the request was for.
            now_s: The monotonic time.
            succeeded: Whether the caller got the complete response.
            first_token_s: Time to the first token, or to a response that is not
                streamed.
            gaps: The token gaps of a stream.
        """
        series = self._series.get((rank_id, service))
        if series is None:
            if len(self._series) >= MAX_SERIES:
                self.dropped_requests += 1
                return
            series = self._series[rank_id, service] = _Series(now_s)
        good = (
            succeeded
            and first_token_s is not None
            and first_token_s <= rank.first_token_target_s
            and (gaps is None or gaps.meets_target(rank.token_gap_target_ms))
        )
        series.record(now_s, good, first_token_s, gaps)

    async def collect(self, now_s: float) -> tuple[ServiceWindow, ...]:
        """Returns the windows of each rank and service.

        Yields to other tasks often, because one rank and service takes about
        20 ms in all, which would delay the streams of the process.
        """
        return tuple(
            [
                _to_message(
                    rank_id,
                    service,
                    window_s,
                    min(window_s, now_s - series.started_s),
                    await series.window(window_s, now_s),
                )
                for (rank_id, service), series in list(self._series.items())
                for window_s in WINDOWS_S
            ]
        )

    def trends(self, now_s: float) -> Iterator[ServiceTrend]:
        """Yields the counts of the last 6 h in slices of 5 min."""
        for (rank_id, service), series in list(self._series.items()):
            series.advance(now_s)
            shape = RINGS[1]
            good, total = [0] * shape.slices, [0] * shape.slices
            newest_s = series.rings[1].open.start_s
            open_slices = [ring.open for ring in series.rings[:2]]
            for item in [*open_slices, *series.rings[1].closed]:
                age_s = newest_s - item.start_s
                index = max(0, round(age_s / shape.slice_s))
                if index < shape.slices:
                    good[index] += item.good
                    total[index] += item.total
            yield ServiceTrend(
                rank=rank_id,
                service=service,
                slice_s=shape.slice_s,
                good=tuple(good),
                total=tuple(total),
            )

    def memory_bytes(self) -> int:
        """Returns the size of all histograms."""
        return sum(series.memory_bytes() for series in self._series.values())


def _to_message(
    rank_id: RankId,
    service: ServiceId,
    window_s: float,
    start_age_s: float,
    counts: _RequestCounts,
) -> ServiceWindow:
    return ServiceWindow(
        rank=rank_id,
        service=service,
        start_age_s=start_age_s,
        length_s=window_s,
        good=counts.good,
        total=counts.total,
        first_token=encode_histogram(counts.first_token),
        token_gap=encode_histogram(counts.token_gap),
    )
