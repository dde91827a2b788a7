"""Registry of the entry processes of this host."""

import msgspec

from acaciaspoke.ids import Address, ConfigVersion
from acaciaspoke.net.messages import EntryHello

# Entry processes send a hello each second. Without one for this long, an entry
# process no longer counts among those that share the upstreams.
ENTRY_TIMEOUT_S = 4.0


class _EntryProcess(msgspec.Struct):
    hello: EntryHello
    last_seen_s: float


class EntryProcesses:
    """The last hello of each entry process."""

    def __init__(self) -> None:
        self._entries: dict[Address, _EntryProcess] = {}

    def record_hello(self, hello: EntryHello, now_s: float) -> bool:
        """Records a hello; returns whether the process has just started."""
        known = self._entries.get(hello.address)
        self._entries[hello.address] = _EntryProcess(hello, now_s)
        return known is None or known.hello.boot != hello.boot

    def expire(self, now_s: float) -> None:
        """Removes the processes whose last hello is too old."""
        self._entries = {
            address: entry
            for address, entry in self._entries.items()
            if now_s - entry.last_seen_s < ENTRY_TIMEOUT_S
        }

    def hellos(self) -> list[EntryHello]:
        """Returns the last hello of each process."""
        return [entry.hello for entry in self._entries.values()]

    def addresses(self) -> list[Address]:
        """Returns the mailbox addresses of the processes."""
        return list(self._entries)

    def count(self) -> int:
        """Returns the number of processes that accept new requests."""
        return sum(not hello.draining for hello in self.hellos())

    def lowest_version(self, control_version: ConfigVersion) -> ConfigVersion:
        """Returns the lowest configuration version in force on this host.

        Args:
            control_version: The control process's version.
        """
        versions = [hello.config_version for hello in self.hellos()]
        return ConfigVersion(
            min([control_version, *versions], default=control_version)
        )
