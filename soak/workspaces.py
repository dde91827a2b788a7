"""Workspaces of a run: their keys, what callers send, and what is checked."""

import itertools
import random
from collections.abc import Collection, Iterable, Iterator
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from soak.callers import Outcome

OPEN = "open"
LIMITED = "limited"
NAMES = (OPEN, LIMITED)

# The quota of ``LIMITED`` in requests, of which a caller's burst sends more.
LIMITED_PER_S = 4.0
LIMITED_BURST = 4.0

# The platform's ``quota-window-s`` and ``quota-overage``. Its slack is 7,400
# tokens, which are this many requests of 200 ``plain-tokens``.
QUOTA_WINDOW_S = 8.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 7_400 / 200

# Callers use the limited workspace in turns of this length.
TURN_S = 3.0
LIMITED_SHARE = 0.7
# Sent in these turns whatever is answered; without a quota so many requests
# would exceed its bound also with a turn and no more in a window.
LIMITED_TURN_PER_S = 40.0
LIMITED_SHARE_BETWEEN = 0.05

# A version holds its own keys and those of the one before.
HELD_VERSIONS = 2
KEPT_SHARE = 0.75
FORGED_SHARE = 0.3

# Requests of clients that keep to no limit, which have no key.
UNTRUSTED_PREFIX = "u"


class Holding(Enum):
    """Which versions of the configuration hold a key."""

    KEPT = "all versions"
    SOME = "some versions"
    NEVER = "no version, or there is no key"


class KeyUse(NamedTuple):
    """The key that a request has.

    Attributes:
        workspace: The workspace that holds it; empty if none ever did.
        forged: The workspace that the caller names itself.
    """

    holding: Holding
    workspace: str = ""
    key: str = ""
    forged: str = ""

    def headers(self) -> dict[str, str]:
        """Returns the headers that a caller sends."""
        headers = {"Acaciaspoke-Key": self.key} if self.key else {}
        if self.forged:
            headers["Acaciaspoke-Tenant"] = self.forged
        return headers


class WorkerRecord(NamedTuple):
    """A request as a worker got it.

    Attributes:
        workspace: The name in its header; empty without one.
        has_key: Whether the key's header arrived.
        at_s: When it arrived, by the monotonic clock of all processes.
    """

    id: str
    workspace: str
    has_key: bool
    at_s: float


def documents(version: int) -> list[dict[str, Any]]:
    """Returns the entries of the workspaces in a version."""
    held = range(max(1, version - HELD_VERSIONS + 1), version + 1)
    quota = {"rate-per-s": LIMITED_PER_S, "burst": LIMITED_BURST}
    return [
        {
            "name": name,
            "api-keys": [
                kept(name).key,
                *(of_version(name, number).key for number in held),
            ],
            **(quota if name == LIMITED else {}),
        }
        for name in NAMES
    ]


def kept(workspace: str) -> KeyUse:
    """Returns the key that all versions hold."""
    return KeyUse(Holding.KEPT, workspace, f"key-of-{workspace}")


def of_version(workspace: str, version: int) -> KeyUse:
    """Returns a key that a version adds, and a later one removes."""
    return KeyUse(Holding.SOME, workspace, f"key-of-{workspace}-{version}")


def is_limited_turn(now_s: float) -> bool:
    """Returns whether callers send more for ``LIMITED`` than its quota."""
    return int(now_s / TURN_S) % 2 == 1


def choose(rng: random.Random, version: int, now_s: float) -> KeyUse:
    """Returns the key of a caller's next request.

    Args:
        rng: Draws it.
        version: The newest version.
        now_s: Callers use the limited workspace more often in every other turn.
    """
    share = LIMITED_SHARE if is_limited_turn(now_s) else LIMITED_SHARE_BETWEEN
    workspace = LIMITED if rng.random() < share else OPEN
    use = kept(workspace)
    if rng.random() >= KEPT_SHARE:
        oldest = max(1, version - HELD_VERSIONS - 1)
        use = rng.choice(
            [
                of_version(workspace, rng.randint(oldest, version)),
                KeyUse(Holding.NEVER, key=f"key-of-{workspace}-never"),
                KeyUse(Holding.NEVER),
            ]
        )
    if rng.random() < FORGED_SHARE:
        use = use._replace(forged=rng.choice(NAMES))
    return use


def read_records(lines: Iterable[str]) -> Iterator[WorkerRecord]:
    """Yields the requests that the lines of workers name."""
    for line in lines:
        if line.startswith("request "):
            _, name, workspace, has_key, at_s = line.split(" ")
            yield WorkerRecord(name, workspace, has_key == "1", float(at_s))


def find_key_violations(
    outcomes: Iterable["Outcome"], records: Collection[WorkerRecord]
) -> Iterator[str]:
    """Yields a line for each violated guarantee of keys.

    Args:
        outcomes: The outcomes that callers saw.
        records: The requests that workers got.
    """
    by_id = {one.id: one for one in outcomes if one.key is not None}
    for record in records:
        if record.has_key:
            yield f"{record.id} reached a worker with its key"
        is_untrusted = record.id.startswith(UNTRUSTED_PREFIX)
        # Streams of other callers, and requests that are repeated until the
        # gateways have recovered, have the key that is kept.
        use = by_id[record.id].key if record.id in by_id else kept(OPEN)
        if is_untrusted or use.holding is Holding.NEVER:
            yield f"{record.id} ran without a known key"
        elif record.workspace != use.workspace:
            yield (
                f"{record.id} of {use.workspace} reached a worker as one of"
                f" {record.workspace!r}, and named {use.forged!r} itself"
            )
    ran = {record.id for record in records}
    for one in by_id.values():
        if one.status == 401 and one.id in ran:
            yield f"{one.id} ran, but was answered 401"
        if one.status == 401 and one.key.holding is Holding.KEPT:
            yield f"{one.id} was answered 401 with a key of all versions"
        if one.status == 200 and one.key.holding is Holding.NEVER:
            yield f"{one.id} was answered 200 without a known key"


def most_in_window(records: Iterable[WorkerRecord]) -> int:
    """Returns the most requests of ``LIMITED`` in a window of the quota.

    A request that was sent to several workers counts when the first one got it.
    """
    first_s: dict[str, float] = {}
    for record in records:
        if record.workspace == LIMITED:
            earlier_s = first_s.get(record.id, record.at_s)
            first_s[record.id] = min(earlier_s, record.at_s)
    times_s = sorted(first_s.values())
    begin = most = 0
    for end, at_s in enumerate(times_s, 1):
        while times_s[begin] <= at_s - QUOTA_WINDOW_S:
            begin += 1
        most = max(most, end - begin)
    return most


def max_in_window() -> float:
    """Returns how many requests of ``LIMITED`` may run in a window."""
    accrued = LIMITED_PER_S * QUOTA_WINDOW_S + LIMITED_BURST
    return accrued * (1 + QUOTA_OVERAGE) + QUOTA_SLACK


def find_quota_violations(records: Iterable[WorkerRecord]) -> Iterator[str]:
    """Yields a line if more requests ran than the quota allows."""
    most = most_in_window(records)
    if most > max_in_window():
        yield (
            f"{most} requests of {LIMITED} ran within {QUOTA_WINDOW_S} s,"
            f" {max_in_window():.1f} are allowed"
        )


def describe(
    outcomes: Iterable["Outcome"], records: Collection[WorkerRecord]
) -> str:
    """Returns how callers with each kind of key were answered."""
    keyed = sorted(
        (one.key.holding.name, one.key.workspace or "none", one.status)
        for one in outcomes
        if one.key is not None
    )
    counts = ", ".join(
        f"{' '.join(map(str, kind))}: {len(list(same))}"
        for kind, same in itertools.groupby(keyed)
    )
    return (
        f"keys and statuses {counts}; at most {most_in_window(records)}"
        f" requests of {LIMITED} in {QUOTA_WINDOW_S} s"
        f" ({max_in_window():.1f} allowed)"
    )
