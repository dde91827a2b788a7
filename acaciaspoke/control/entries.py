"""The entry processes of this host, as their control process knows them."""

import msgspec

from acaciaspoke.ids import Address, ConfigVersion
from acaciaspoke.net.messages import EntryHello

# An entry process says hello each second; one that was silent for this long
# no longer counts among those that share the upstreams.
SILENT_S = 4.0


class _Entry(msgspec.Struct):
    hello: EntryHello
    heard_s: float


class Entries:
    """The last message of each entry process."""

    def __init__(self) -> None:
        self._entries: dict[Address, _Entry] = {}

    def hear(self, hello: EntryHello, now_s: float) -> bool:
        """Takes a message; returns whether the process is new or restarted."""
        known = self._entries.get(hello.address)
        self._entries[hello.address] = _Entry(hello, now_s)
        return known is None or known.hello.boot != hello.boot

    def expire(self, now_s: float) -> None:
        """Forgets the processes that were silent for too long."""
        self._entries = {
            address: entry
            for address, entry in self._entries.items()
            if now_s - entry.heard_s < SILENT_S
        }

    def hellos(self) -> list[EntryHello]:
        """Returns the last message of each process."""
        return [entry.hello for entry in self._entries.values()]

    def addresses(self) -> list[Address]:
        """Returns the mailboxes of the processes."""
        return list(self._entries)

    def count(self) -> int:
        """Returns how many processes take new requests."""
        return sum(not hello.draining for hello in self.hellos())

    def lowest_version(self, own: ConfigVersion) -> ConfigVersion:
        """Returns the lowest version in force on this host.

        Args:
            own: The control process's version.
        """
        versions = [hello.config_version for hello in self.hellos()]
        return ConfigVersion(min([own, *versions], default=own))
