"""HdrHistograms with the same range and precision in all processes.

Adding is fast only for histograms of the same shape: for one encoded histogram
of another shape, the library takes 1.8 ms instead of 50 us.
"""

from collections.abc import Mapping

import msgspec
from hdrh.histogram import HdrHistogram

from acaciaspoke.errors import AcaciaspokeError

# In the unit of the histogram: 10 min in milliseconds, 60 s in tenths of a
# millisecond. Longer times are recorded as this value.
MAX_VALUE = 600_000

# Two digits keep the error below 1% at 14 KiB per histogram; three digits would
# take 88 KiB.
SIGNIFICANT_DIGITS = 2

COUNT_BYTES = 8


class HistogramError(AcaciaspokeError):
    """The bytes are not an encoded histogram of the expected shape."""


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """Percentiles of a distribution, in milliseconds."""

    p50_ms: float
    p95_ms: float
    p99_ms: float


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram."""
    return HdrHistogram(
        1, MAX_VALUE, SIGNIFICANT_DIGITS, word_size=COUNT_BYTES, b64_wrap=False
    )


def add_counts(histogram: HdrHistogram, counts: Mapping[int, int]) -> None:
    """Adds values with their counts."""
    for value, count in counts.items():
        histogram.record_value(min(max(value, 0), MAX_VALUE), count)


def encode_histogram(histogram: HdrHistogram) -> bytes:
    """Returns the histogram's V2 encoding; empty bytes if it is empty."""
    return histogram.encode() if histogram.get_total_count() else b""


def add_encoded(histogram: HdrHistogram, data: bytes) -> None:
    """Adds an encoded histogram.

    Raises:
        HistogramError: If the bytes are not a histogram of the expected shape.
    """
    if not data:
        return
    try:
        other = HdrHistogram.decode(data, b64_wrap=False)
    except Exception as error:  # from zlib, struct or hdrh
        raise HistogramError(str(error)) from error
    if other.counts_len != histogram.counts_len:
        raise HistogramError("the histogram has a different shape")
    histogram.add(other)


def percentiles(
    histogram: HdrHistogram, units_per_ms: int
) -> Percentiles | None:
    """Returns the percentiles, or None for an empty histogram."""
    if not histogram.get_total_count():
        return None
    values_by_percentile = histogram.get_percentile_to_value_dict([50, 95, 99])
    return Percentiles(
        p50_ms=values_by_percentile[50] / units_per_ms,
        p95_ms=values_by_percentile[95] / units_per_ms,
        p99_ms=values_by_percentile[99] / units_per_ms,
    )
