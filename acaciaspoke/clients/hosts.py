"""Client of the platform's host list (Prometheus HTTP service discovery)."""

from enum import Enum
from typing import Self

import msgspec

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import DomainId
from acaciaspoke.util.http import HttpClient, HttpError
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.net import split_address


class HostsError(AcaciaspokeError):
    """Base class of the errors of the host list's client."""


class HostsUnavailable(HostsError):  # noqa: N818 - as TableUnavailable
    """The host list could not be fetched."""


class HostsInvalid(HostsError):  # noqa: N818 - as HostsUnavailable
    """The response is not a valid host list.

    The whole list is rejected, because without an invalid entry a live host
    would appear to be removed.
    """


class HostState(Enum):
    """Whether the platform keeps a host or removes it."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One target of the host list.

    Attributes:
        address: ``ip:port``.
        role: What runs there, as named by the platform.
    """

    address: str
    failure_domain: DomainId
    state: HostState
    role: str


class _Labels(msgspec.Struct):
    failure_domain: DomainId
    state: HostState = HostState.LIVE
    role: str = ""


class _Group(msgspec.Struct):
    targets: list[str]
    labels: _Labels


class HostsClient:
    """Fetches the host list; an async context manager."""

    def __init__(
        self,
        address: str,
        timeout_s: float,
        metrics: Metrics,
        path: str = "/",
    ):
        self._http = HttpClient(address, timeout_s)
        self._metrics = metrics
        self._path = path
        self._body = b""
        self._entries: list[HostEntry] = []

    async def __aenter__(self) -> Self:
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._http.__aexit__(*error)

    async def fetch(self) -> list[HostEntry]:
        """Returns the list, which lags behind the actual state.

        Raises:
            HostsUnavailable: If the list could not be fetched.
            HostsInvalid: If the response is not a valid host list.
        """
        try:
            answer = await self._http.request("GET", self._path)
        except HttpError as error:
            self._metrics.count("hosts.failed")
            raise HostsUnavailable(str(error)) from error
        if answer.status != 200:
            self._metrics.count("hosts.failed")
            raise HostsUnavailable(f"the host list answered {answer.status}")
        # Parsing 5,500 entries takes 56 ms, and the list seldom changes within
        # a second, so an unchanged body is not parsed again.
        if not self._entries or answer.body != self._body:
            try:
                self._entries = parse_hosts(answer.body)
            except HostsInvalid:
                self._metrics.count("hosts.invalid")
                raise
            self._body = answer.body
        return list(self._entries)


def parse_hosts(body: bytes) -> list[HostEntry]:
    """Returns one entry for each target of a host list in JSON.

    Raises:
        HostsInvalid: If it is not a valid host list.
    """
    try:
        groups = msgspec.json.decode(body, type=list[_Group])
        for group in groups:
            for target in group.targets:
                split_address(target)
    except (msgspec.DecodeError, ValueError) as error:
        raise HostsInvalid(str(error)) from error
    return [
        HostEntry(address=target, **msgspec.structs.asdict(group.labels))
        for group in groups
        for target in group.targets
    ]
