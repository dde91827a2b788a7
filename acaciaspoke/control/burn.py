"""Collects the service-level windows of all hosts for the burn report."""

import itertools
from collections.abc import Iterable
from datetime import UTC, datetime

import anyio

from acaciaspoke.config.schema import Config
from acaciaspoke.ids import Address, HostId
from acaciaspoke.net.mailbox import Mailbox
from acaciaspoke.net.messages import HostEntries, Windows, WindowsRequest
from acaciaspoke.net.records import Member
from acaciaspoke.report.burn import BurnMerger, BurnReport, Source

# Longest wait for the responses of all hosts.
COLLECT_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 0.02


class _PendingCollection:
    """The responses to one request.

    Attributes:
        expected: The entry processes of each host that has listed them.
        windows: The responses of entry processes.
    """

    def __init__(self) -> None:
        self.expected: dict[HostId, tuple[Address, ...]] = {}
        self.windows: dict[Address, Windows] = {}

    def is_complete(self, hosts: Iterable[HostId]) -> bool:
        return all(
            host in self.expected
            and all(entry in self.windows for entry in self.expected[host])
            for host in hosts
        )


class BurnCollector:
    """Queries the entry processes of a failure domain for their windows.

    Each control process forwards the request to its own entry processes and
    lists them in a response, so that the requester knows which responses are
    missing.
    """

    def __init__(self, mailbox: Mailbox, reply_to: Address):
        self._mailbox = mailbox
        self._reply_to = reply_to
        self._sequence = itertools.count(1)
        self._collections: dict[int, _PendingCollection] = {}

    def forward(
        self,
        request: WindowsRequest,
        host: HostId,
        entries: Iterable[Address],
    ) -> None:
        """Forwards a request to the local entry processes and lists them."""
        entries = tuple(entries)
        for address in entries:
            self._mailbox.post(address, request)
        response = HostEntries(
            sender=host, sequence=request.sequence, entries=entries
        )
        self._mailbox.post(request.reply_to, response)

    def record_entries(self, message: HostEntries) -> None:
        """Records the list of a host's entry processes."""
        collection = self._collections.get(message.sequence)
        if collection is not None:
            collection.expected[message.sender] = message.entries

    def record_windows(self, message: Windows) -> None:
        """Records the response of an entry process."""
        collection = self._collections.get(message.sequence)
        if collection is not None:
            collection.windows[message.sender] = message

    async def collect(
        self, members: Iterable[Member], config: Config
    ) -> BurnReport:
        """Returns the report, which lists hosts that did not respond."""
        addresses = {member.host: member.address for member in members}
        sequence = next(self._sequence)
        collection = self._collections[sequence] = _PendingCollection()
        request = WindowsRequest(reply_to=self._reply_to, sequence=sequence)
        for address in addresses.values():
            self._mailbox.post(address, request)
        with anyio.move_on_after(COLLECT_TIMEOUT_S):
            while not collection.is_complete(addresses):
                await anyio.sleep(CHECK_INTERVAL_S)
        del self._collections[sequence]
        return await _merge(collection, addresses, config)


async def _merge(
    collection: _PendingCollection, hosts: Iterable[HostId], config: Config
) -> BurnReport:
    merger = BurnMerger()
    for host in hosts:
        if host not in collection.expected:
            merger.record_missing(
                Source(host, Address("")), "the host did not answer"
            )
        for entry in collection.expected.get(host, ()):
            windows = collection.windows.get(entry)
            if windows is None:
                merger.record_missing(Source(host, entry), "no answer")
            else:
                merger.add(Source(host, entry), windows)
            # Merging the windows of one process takes a while, so other tasks
            # get to run in between.
            await anyio.lowlevel.checkpoint()
    made_at = datetime.now(UTC).isoformat(timespec="seconds")
    return merger.report(config.ranks, config.version, made_at)
