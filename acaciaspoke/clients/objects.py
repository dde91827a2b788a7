"""Client of the platform's object store (S3 API)."""

import urllib.parse
from typing import Self

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.util.http import HttpClient, HttpError, HttpResponse
from acaciaspoke.util.metrics import Metrics


class ObjectsError(AcaciaspokeError):
    """Base class of the errors of the object store's client."""


class ObjectsUnavailable(ObjectsError):  # noqa: N818 - as TableUnavailable
    """A request failed; a put may have been applied."""


class ObjectsClient:
    """Gets and puts whole objects; an async context manager.

    A put is idempotent, so it can always be retried.
    """

    def __init__(
        self, address: str, bucket: str, timeout_s: float, metrics: Metrics
    ):
        self._http = HttpClient(address, timeout_s)
        self._bucket = bucket
        self._metrics = metrics

    async def __aenter__(self) -> Self:
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._http.__aexit__(*error)

    async def get(self, key: str) -> bytes | None:
        """Returns an object, or None if it does not exist.

        Raises:
            ObjectsUnavailable: If the request failed.
        """
        answer = await self._request("GET", key)
        return None if answer.status == 404 else answer.body

    async def put(self, key: str, data: bytes) -> None:
        """Stores an object, replacing any existing one.

        Raises:
            ObjectsUnavailable: If the request failed.
        """
        answer = await self._request("PUT", key, data)
        if answer.status == 404:
            self._fail(f"there is no bucket {self._bucket}")

    async def _request(
        self, method: str, key: str, data: bytes = b""
    ) -> HttpResponse:
        path = urllib.parse.quote(f"/{self._bucket}/{key}")
        try:
            answer = await self._http.request(method, path, data)
        except HttpError as error:
            self._fail(str(error))
        if answer.status not in (200, 404):
            self._fail(f"the object store answered {answer.status}")
        return answer

    def _fail(self, problem: str):
        self._metrics.count("objects.failed")
        raise ObjectsUnavailable(problem)
