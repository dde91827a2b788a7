"""Kinds of faults, and the faults of a plan."""

from enum import Enum

import msgspec

from soak.links import LinkFault


class FaultKind(Enum):
    """Faults of processes and of their connections."""

    KILL_GATEWAY = "kill a gateway and start it again"
    STOP_GATEWAY = "SIGTERM to a gateway, then start it again"
    PAUSE_GATEWAY = "pause a gateway"
    RELOAD_GATEWAY = "SIGHUP to a gateway"
    KILL_WORKER = "kill a worker and start it again"
    PAUSE_WORKER = "pause a worker"
    DRAIN_WORKER = "have a worker leave and come back"
    DELAY_WORKER = "delay a worker's connections"
    RESET_WORKER = "reset a worker's connections"
    CUT_WORKER = "lose what a worker sends"
    SILENCE_WORKER = "lose what goes to and from a worker"
    DELAY_STORE = "delay a gateway's connections to the store"
    RESET_STORE = "reset a gateway's connections to the store"
    SILENCE_STORE = "lose what goes between a gateway and the store"
    PAUSE_STORE = "pause the store"
    LOSE_ANSWERS = "apply writes at the store without an answer"
    CHANGE_CONFIGURATION = "a new version of the configuration"
    RESTORE_STORE = "the store is away and comes back from a copy"
    MAKE_BRITTLE = "workers of one service fall over if they refuse too many"
    LOSE_LINKS = "gateways lose their links to all workers"
    RELEASE = "engines come back one after the other at another version"
    KILL_ALL_GATEWAYS = "kill all gateways at once and start them again"
    PAUSE_ENGINE = "pause an engine"
    HOLD_EVENTS = "an engine holds its events back and answers control calls"
    BREAK_OFF = "an engine resets its streams and works on"
    DELAY_KV_FROM = "engines answer late to requests that go on from copies"
    FAIL_KV_FROM = "engines answer 500 to requests that go on from copies"
    REFUSE_KV_FROM = "engines refuse requests that go on from copies"
    STAND_STILL = "an engine stands still, then answers calls before it streams"
    REFUSE_COPIES = "engines have no room for copies"


# Kinds that ``Plan.faults`` has only with an option.
_OPTIONAL_KINDS = frozenset(
    [
        FaultKind.RESTORE_STORE,
        FaultKind.MAKE_BRITTLE,
        FaultKind.LOSE_LINKS,
        FaultKind.RELEASE,
        FaultKind.KILL_ALL_GATEWAYS,
        FaultKind.PAUSE_ENGINE,
        FaultKind.HOLD_EVENTS,
        FaultKind.BREAK_OFF,
        FaultKind.DELAY_KV_FROM,
        FaultKind.FAIL_KV_FROM,
        FaultKind.REFUSE_KV_FROM,
        FaultKind.STAND_STILL,
        FaultKind.REFUSE_COPIES,
    ]
)
COMMON_KINDS = [kind for kind in FaultKind if kind not in _OPTIONAL_KINDS]

# Faults of an engine after which its streams may go on at others.
TAKEOVER_KINDS = (
    *2 * [FaultKind.PAUSE_ENGINE],
    *3 * [FaultKind.HOLD_EVENTS],
    FaultKind.BREAK_OFF,
    FaultKind.KILL_WORKER,
    FaultKind.RESET_WORKER,
)
KV_FROM_KINDS = (
    FaultKind.DELAY_KV_FROM,
    FaultKind.FAIL_KV_FROM,
    FaultKind.REFUSE_KV_FROM,
)

# Silences of engines that are sound, and what may be beside them.
SILENCE_KINDS = (
    FaultKind.PAUSE_ENGINE,
    FaultKind.HOLD_EVENTS,
    FaultKind.STAND_STILL,
)
BESIDE_SILENCES_KINDS = (*KV_FROM_KINDS, FaultKind.REFUSE_COPIES)

# Faults of an engine that does not go on before callers leave.
HANG_KINDS = (
    FaultKind.PAUSE_ENGINE,
    FaultKind.HOLD_EVENTS,
    FaultKind.KILL_WORKER,
)

# Faults over which no stream that has begun may break.
KINDS_WITHOUT_BREAKS = frozenset(
    [
        FaultKind.STOP_GATEWAY,
        FaultKind.RELOAD_GATEWAY,
        FaultKind.DELAY_STORE,
        FaultKind.RESET_STORE,
        FaultKind.SILENCE_STORE,
        FaultKind.PAUSE_STORE,
        FaultKind.LOSE_ANSWERS,
        FaultKind.CHANGE_CONFIGURATION,
        FaultKind.RESTORE_STORE,
    ]
)

GATEWAY_KINDS = (
    FaultKind.KILL_GATEWAY,
    FaultKind.STOP_GATEWAY,
    FaultKind.PAUSE_GATEWAY,
)


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
        at_s: Begin, relative to the start of the load; when the copy is made
            if the store is restored.
        target: Number of the gateway or worker; which engine is the first of
            a release.
        copy_age_s: Age of the copy when the store goes away.
        version: Software version to which a release takes engines.
        engines: How many engines a release takes there.
        delay_s: How late engines answer, or send events after they answer.
        gateways: The gateways that lose their links.
        how: What happens to their connections.
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float
    copy_age_s: float = 0.0
    version: str = ""
    engines: int = 0
    delay_s: float = 0.0
    gateways: tuple[int, ...] = ()
    how: LinkFault | None = None
