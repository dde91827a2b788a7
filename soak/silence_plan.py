"""Draws times in which engines are silent, apart from all other faults.

Silences are of sound engines and end before callers leave; hangs do not.
"""

import random
from collections.abc import Iterator, Sequence

from soak.fault_kinds import (
    BESIDE_SILENCES_KINDS,
    HANG_KINDS,
    SILENCE_KINDS,
    Fault,
    FaultKind,
)

# Gateways ask for backups once they know that streams take long.
BEFORE_SILENCES_S = 3.0

# How long after a change of the configuration engines fall silent, and for how
# long.
CHANGE_S = 0.1
AFTER_CHANGE_S = 0.6
MIN_SILENCE_S = 0.8
MAX_SILENCE_S = 1.5

# How much later than calls that have waited events come.
MIN_EVENT_DELAY_S = 0.05
MAX_EVENT_DELAY_S = 0.2

# Between two silences, so that a stream is silent for one of them only.
MIN_GAP_S = 0.5
SLOT_S = AFTER_CHANGE_S + MAX_SILENCE_S + MAX_EVENT_DELAY_S + MIN_GAP_S

# Share of the silences in which all engines are silent.
ALL_SHARE = 0.5

# In this share of the silences all engines treat requests that go on from a
# copy wrongly, or have no room for copies.
BESIDE_SHARE = 0.5
BESIDE_S = 3.0
MIN_ANSWER_DELAY_S = 0.2
MAX_ANSWER_DELAY_S = 1.5

# How long one engine hangs or is away while the others are sound.
MIN_HANG_S = 3.0
MAX_HANG_S = 5.0
HANG_SLOT_S = MAX_HANG_S + MIN_GAP_S


def max_hangs(length_s: float) -> int:
    """Returns how many hangs a run of a length can have."""
    return int((length_s - BEFORE_SILENCES_S) / HANG_SLOT_S)


def make_hangs(
    seed: int, engines: Sequence[int], length_s: float, count: int
) -> Iterator[Fault]:
    """Yields hangs and ends of single engines, one after the other.

    Args:
        seed: Determines all random choices.
        engines: The numbers of the engines.
        length_s: Duration in which faults are injected.
        count: How often an engine hangs or ends.

    Raises:
        ValueError: If so many do not fit one after the other.
    """
    if count > max_hangs(length_s):
        raise ValueError(f"{count} hangs do not fit into {length_s} s")
    rng = random.Random(f"hangs of {seed}")
    slot_s = (length_s - BEFORE_SILENCES_S) / max(1, count)
    for number in range(count):
        begin_s = BEFORE_SILENCES_S + number * slot_s
        yield Fault(
            at_s=begin_s + rng.uniform(0.0, slot_s - HANG_SLOT_S),
            kind=rng.choice(HANG_KINDS),
            target=rng.choice(engines),
            duration_s=rng.uniform(MIN_HANG_S, MAX_HANG_S),
        )


def max_silences(length_s: float) -> int:
    """Returns how many silences a run of a length can have."""
    return int((length_s - BEFORE_SILENCES_S) / SLOT_S)


def make_silences(
    seed: int, engines: Sequence[int], length_s: float, count: int
) -> Iterator[Fault]:
    """Yields silences of sound engines, and what happens around them.

    Args:
        seed: Determines all random choices.
        engines: The numbers of the engines.
        length_s: Duration in which faults are injected.
        count: How often some or all engines are silent together.

    Raises:
        ValueError: If so many do not fit one after the other.
    """
    if count > max_silences(length_s):
        raise ValueError(f"{count} silences do not fit into {length_s} s")
    rng = random.Random(f"silences of {seed}")
    slot_s = (length_s - BEFORE_SILENCES_S) / max(1, count)
    for number in range(count):
        change_s = BEFORE_SILENCES_S + number * slot_s
        change_s += rng.uniform(0.0, slot_s - SLOT_S)
        yield Fault(change_s, FaultKind.CHANGE_CONFIGURATION, 0, CHANGE_S)
        kind = rng.choice(SILENCE_KINDS)
        duration_s = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        delay_s = rng.uniform(MIN_EVENT_DELAY_S, MAX_EVENT_DELAY_S)
        some = rng.sample(engines, rng.randint(1, len(engines)))
        for engine in engines if rng.random() < ALL_SHARE else some:
            yield Fault(
                at_s=change_s + AFTER_CHANGE_S,
                kind=kind,
                target=engine,
                duration_s=duration_s,
                delay_s=delay_s if kind is FaultKind.STAND_STILL else 0.0,
            )
        if rng.random() < BESIDE_SHARE:
            yield Fault(
                at_s=change_s,
                kind=rng.choice(BESIDE_SILENCES_KINDS),
                target=0,
                duration_s=min(BESIDE_S, length_s - change_s),
                delay_s=rng.uniform(MIN_ANSWER_DELAY_S, MAX_ANSWER_DELAY_S),
            )
