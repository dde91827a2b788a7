"""Blocks requests that crash the upstreams that run them.

Callers may send such a request repeatedly and through any host. Attempts that
end with a lost connection are counted by the request's fingerprint, over all
hosts; a complete response resets the count of its host. Attempts that may have
been lost with this host's links count here at once, and are reported when they
are confirmed.
"""

from collections import Counter

from acaciaspoke.ids import HostId

# Lost attempts after which a request is blocked; unrelated requests that run at
# a crashing upstream are lost once or twice.
MAX_LOST_ATTEMPTS = 3

# How long lost attempts count.
LOST_ATTEMPT_RETENTION_S = 30.0


class CrashSuspects:
    """Counts lost attempts by request, at this host and at others."""

    def __init__(self) -> None:
        self._local: dict[int, tuple[int, float]] = {}
        # Attempts that are not confirmed, and when they were lost.
        self._unconfirmed: list[tuple[int, float]] = []
        self._remote: dict[HostId, tuple[dict[int, int], float]] = {}

    def record_crash(
        self, fingerprint: int, now_s: float, is_confirmed: bool = True
    ) -> None:
        """Records an attempt that ended with a lost connection."""
        if not is_confirmed:
            self._unconfirmed.append((fingerprint, now_s))
            return
        count, last_s = self._local.get(fingerprint, (0, now_s))
        self._local[fingerprint] = (count + 1, max(now_s, last_s))

    def confirm(self, until_s: float) -> None:
        """Confirms the attempts that were lost up to a time."""
        unconfirmed, self._unconfirmed = self._unconfirmed, []
        for fingerprint, at_s in unconfirmed:
            self.record_crash(fingerprint, at_s, at_s <= until_s)

    def drop_unconfirmed(self) -> None:
        """Drops the attempts that were lost with this host's links."""
        self._unconfirmed.clear()

    def record_success(self, fingerprint: int) -> None:
        """Records a complete response."""
        self._local.pop(fingerprint, None)
        self._unconfirmed = [
            entry for entry in self._unconfirmed if entry[0] != fingerprint
        ]

    def apply_counts(
        self, host: HostId, counts: dict[int, int], now_s: float
    ) -> None:
        """Updates the lost attempts of another host."""
        if host not in self._remote:
            self._remote = {
                known: entry
                for known, entry in self._remote.items()
                if now_s - entry[1] <= LOST_ATTEMPT_RETENTION_S
            }
        self._remote[host] = (counts, now_s)

    def is_blocked(self, fingerprint: int, now_s: float) -> bool:
        """Returns whether a request must not be sent for now."""
        count, _ = self._local.get(fingerprint, (0, now_s))
        count += sum(name == fingerprint for name, _ in self._unconfirmed)
        return (
            count + self.remote_counts(now_s)[fingerprint] >= MAX_LOST_ATTEMPTS
        )

    def remote_counts(self, now_s: float) -> Counter[int]:
        """Returns the lost attempts at other hosts."""
        attempts: Counter[int] = Counter()
        for counts, received_s in self._remote.values():
            if now_s - received_s <= LOST_ATTEMPT_RETENTION_S:
                attempts.update(counts)
        return attempts

    def local_counts(self, now_s: float) -> dict[int, int]:
        """Returns this host's lost attempts; removes old ones."""
        self._local = {
            fingerprint: (count, last_s)
            for fingerprint, (count, last_s) in self._local.items()
            if now_s - last_s <= LOST_ATTEMPT_RETENTION_S
        }
        return {name: count for name, (count, _) in self._local.items()}
