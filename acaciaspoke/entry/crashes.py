"""Detects upstream crashes and shares the resulting suspicions."""

import itertools
import time
from collections.abc import Callable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.entry.dispatch import Dispatcher
from acaciaspoke.ids import Address, BootId, UpstreamId
from acaciaspoke.net.messages import ConnectionLost, Message, SuspicionNotice
from acaciaspoke.net.records import EngineReport, Suspicion
from acaciaspoke.util.http import HttpClient, HttpError

REPORT_TIMEOUT_S = 0.5

# An exiting process closes its listening socket last: for some milliseconds a
# new connection is still accepted and then reset.
REPORT_RETRY_S = 0.05

# Limits how long callers wait until the failure domain has the suspicions. If
# the notice is lost, they still spread by gossip.
PUBLISH_TIMEOUT_S = 0.25

REPORT_PATH = "/v2/report"


async def boot_has_ended(address: str, boot_id: BootId) -> bool:
    """Returns whether a boot of an upstream has certainly ended.

    Only a refused connection or a report of another boot proves it. An
    unresponsive upstream may be slow or partitioned. One that resets
    connections is polled again, as it may be exiting.
    """
    with anyio.move_on_after(REPORT_TIMEOUT_S):
        async with HttpClient(address, REPORT_TIMEOUT_S) as client:
            while True:
                try:
                    response = await client.request("GET", REPORT_PATH)
                    report = msgspec.json.decode(
                        response.body, type=EngineReport
                    )
                except HttpError as error:
                    if error.connection_refused:
                        return True
                    await anyio.sleep(REPORT_RETRY_S)
                except (msgspec.DecodeError, msgspec.ValidationError):
                    return False
                else:
                    return report.boot_id != boot_id
    return False


class CrashDetector:
    """Checks whether lost connections mean a crash of the upstream.

    Concurrent checks of one boot share a single result.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        post: Callable[[Message], bool],
        reply_to: Address,
    ):
        self._dispatcher = dispatcher
        self._post = post
        self._reply_to = reply_to
        self._sequence = itertools.count(1)
        self._checks: dict[tuple[UpstreamId, BootId], anyio.Event] = {}
        self._unacknowledged: dict[int, anyio.Event] = {}

    async def check(
        self, upstream: UpstreamId, boot_id: BootId, address: str
    ) -> None:
        """Checks for a crash of the boot; shares the suspicions if it ended.

        The check is not cancelled if the caller disconnects meanwhile: its
        request stays in flight, and so among the suspects, until the crash is
        recorded.
        """
        with anyio.CancelScope(shield=True):
            await self._check(upstream, boot_id, address)

    async def _check(
        self, upstream: UpstreamId, boot_id: BootId, address: str
    ) -> None:
        self.report_connection_lost(upstream, boot_id)
        key = (upstream, boot_id)
        running = self._checks.get(key)
        if running is not None:
            await running.wait()
            return
        finished = self._checks[key] = anyio.Event()
        try:
            if await boot_has_ended(address, boot_id):
                await self._publish_crash(upstream, boot_id)
        finally:
            finished.set()
            del self._checks[key]

    def report_connection_lost(
        self, upstream: UpstreamId, boot_id: BootId
    ) -> None:
        """Notifies the control process, which then polls the upstream."""
        self._post(ConnectionLost(upstream=upstream, boot_id=boot_id))

    async def _publish_crash(
        self, upstream: UpstreamId, boot_id: BootId
    ) -> None:
        suspicions = self._dispatcher.record_crash(
            upstream, boot_id, time.monotonic()
        )
        logger.warning(
            "upstream {} crashed (boot {}) with {} distinct requests in flight",
            upstream,
            boot_id,
            len(suspicions),
        )
        if not suspicions:
            return
        sequence = next(self._sequence)
        acknowledged = self._unacknowledged[sequence] = anyio.Event()
        self.publish(suspicions, sequence)
        with anyio.move_on_after(PUBLISH_TIMEOUT_S):
            await acknowledged.wait()
        del self._unacknowledged[sequence]
        self._dispatcher.suspects.end_hold(s.fingerprint for s in suspicions)

    def publish(
        self, suspicions: tuple[Suspicion, ...], sequence: int = 0
    ) -> None:
        """Sends suspicions to the control process."""
        self._post(
            SuspicionNotice(
                suspicions=suspicions,
                reply_to=self._reply_to,
                sequence=sequence,
            )
        )

    def record_acknowledgement(self, sequence: int) -> None:
        """Records that the control process has forwarded a notice."""
        event = self._unacknowledged.get(sequence)
        if event is not None:
            event.set()
