"""A connection to an engine for a report and one order.

It is never reopened: an order must reach the boot whose report was read on the
same TCP connection.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore
import msgspec

from acaciaspoke.config.schema import Artifact
from acaciaspoke.control.reservations import Answer, Order
from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import FencingToken
from acaciaspoke.net.records import EngineReport
from acaciaspoke.util.net import split_address

# 409 refuses an old fencing token, 429 and 503 refuse before execution, 400 and
# 404 report an order that the engine can't apply. After other errors, such as
# 500 or 504, the order may still take effect.
REFUSALS = frozenset({400, 404, 409, 429, 503})

_report_decoder = msgspec.json.Decoder(EngineReport)


class LinkError(AcaciaspokeError):
    """The engine could not be reached or did not respond as expected."""


class FenceRefusedError(LinkError):
    """The engine has seen a newer fencing token: the lease is lost."""


class EngineLink:
    """An open connection to an engine."""

    def __init__(
        self,
        address: str,
        connection: httpcore.AsyncHTTP11Connection,
        timeout_s: float,
    ):
        self._address = address
        self._connection = connection
        self._timeout_s = timeout_s

    @property
    def is_open(self) -> bool:
        """Whether the engine has not closed the connection."""
        return self._connection.is_idle() and not (
            self._connection.has_expired()
        )

    async def report(self) -> EngineReport:
        """Returns the engine's report.

        Raises:
            LinkError: If the engine returns no valid report.
        """
        try:
            status, body = await self._call("GET", "/v2/report")
            if status != 200:
                raise LinkError(
                    f"{self._address}: report answered with {status}"
                )
            return _report_decoder.decode(body)
        except (*_CALL_ERRORS, msgspec.MsgspecError) as error:
            raise LinkError(
                f"{self._address}: report failed: {error}"
            ) from error

    async def raise_fence(self, token: FencingToken) -> None:
        """Makes the engine refuse orders with older tokens.

        Raises:
            LinkError: If the fence was not confirmed.
        """
        document = {"parameters": {"fencing_token": token}}
        try:
            status, _ = await self._call(
                "POST", "/v2/repository/index", document
            )
        except _CALL_ERRORS as error:
            raise LinkError(
                f"{self._address}: fence failed: {error}"
            ) from error
        if status == 409:
            raise FenceRefusedError(f"{self._address} refuses token {token}")
        if status != 200:
            raise LinkError(f"{self._address}: fence answered with {status}")

    async def order(
        self, verb: str, artifact: Artifact, order: Order
    ) -> Answer | None:
        """Sends an order; returns None if the outcome is unknown."""
        if not self.is_open:
            return Answer.NOT_SENT
        parameters = {
            "order_id": order.order_id,
            "fencing_token": order.token,
            "version": artifact.version,
            "memory_bytes": artifact.memory_bytes,
        }
        if artifact.base_model:
            parameters["base_model"] = artifact.base_model
        path = f"/v2/repository/models/{artifact.name}/{verb}"
        try:
            status, _ = await self._call(
                "POST", path, {"parameters": parameters}
            )
        except httpcore.ConnectionNotAvailable:
            return Answer.NOT_SENT
        except _CALL_ERRORS:
            return None
        if status == 200:
            return Answer.ACKNOWLEDGED
        return Answer.REFUSED if status in REFUSALS else None

    async def _call(
        self, method: str, path: str, document: object = None
    ) -> tuple[int, bytes]:
        content = b"" if document is None else msgspec.json.encode(document)
        # httpcore's timeouts apply to each read, this one to the whole call.
        with anyio.fail_after(self._timeout_s):
            response = await self._connection.request(
                method,
                f"http://{self._address}{path}",
                headers={
                    "host": self._address,
                    "content-type": "application/json",
                    "content-length": str(len(content)),
                },
                content=content,
            )
        return response.status, response.content


@asynccontextmanager
async def open_link(
    address: str, *, connect_timeout_s: float, timeout_s: float
) -> AsyncIterator[EngineLink]:
    """Opens a connection, and closes it when the context exits.

    Raises:
        LinkError: If the engine can't be reached.
    """
    ip, port = split_address(address)
    try:
        stream = await httpcore.AnyIOBackend().connect_tcp(
            ip, port, timeout=connect_timeout_s
        )
    except _CALL_ERRORS as error:
        raise LinkError(f"{address}: connect failed: {error}") from error
    origin = httpcore.Origin(b"http", ip.encode(), port)
    connection = httpcore.AsyncHTTP11Connection(origin, stream)
    try:
        yield EngineLink(address, connection, timeout_s)
    finally:
        await connection.aclose()


_CALL_ERRORS = (
    TimeoutError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)
