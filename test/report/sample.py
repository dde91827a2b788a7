"""Test data for the reports."""

from acaciaspoke.config.schema import Rank
from acaciaspoke.net.messages import Windows
from acaciaspoke.net.records import ServiceTrend, ServiceWindow
from acaciaspoke.report.burn import BurnMerger, Source
from acaciaspoke.report.hdr import add_counts, encode_histogram, new_histogram
from acaciaspoke.report.histograms import WINDOWS_S

RANKS = {"urgent": Rank(level=0, attainment_target=0.95)}


def histogram(counts):
    made = new_histogram()
    add_counts(made, counts)
    return encode_histogram(made)


def windows(good, total, service="chat", age_s=WINDOWS_S[-1], trend=()):
    """Returns a process's response; ``good`` has a count for each window."""
    return Windows(
        sender="tcp://127.0.0.1:1",
        sequence=1,
        windows=tuple(
            ServiceWindow(
                rank="urgent",
                service=service,
                start_age_s=min(age_s, length_s),
                length_s=length_s,
                good=count,
                total=total,
                first_token=histogram({500: 90, 3000: 10}),
                token_gap=histogram({200: 100}),
            )
            for length_s, count in zip(WINDOWS_S, good, strict=True)
        ),
        trends=(
            ServiceTrend(
                rank="urgent",
                service=service,
                slice_s=300.0,
                good=tuple(good for good, _ in trend),
                total=tuple(total for _, total in trend),
            ),
        ),
    )


def source(number):
    return Source(f"host-{number}", f"tcp://127.0.0.1:{number}")


def report(*answers, missing=()):
    merger = BurnMerger()
    for number, answer in enumerate(answers):
        merger.add(source(number), answer)
    for number, reason in missing:
        merger.record_missing(source(number), reason)
    return merger.report(RANKS, 7, "2026-01-02T03:04:05Z")
