"""Callers with persistent connections, and the outcomes of their requests."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from datetime import UTC, datetime
from enum import Enum
from typing import NamedTuple

import httpcore

from soak import workspaces
from soak.configuration import MIN_IDLE_MS
from soak.deployment import Deployment

DEADLINE_S = 5.0

# The margin is for requests that are refused at their deadline.
ANSWER_TIMEOUT_S = DEADLINE_S + 2.0

# Between two requests of a caller.
MAX_PAUSE_S = 0.05

# Callers that do not wait for answers send this many requests a second to all
# gateways together, nine tenths of what plain workers with limited room can do.
STEADY_REQUESTS_PER_S = 54

# Callers reuse connections that have been idle for up to four fifths of the
# limit (the platform's protocol).
MAX_IDLE_S = 0.8 * MIN_IDLE_MS / 1000

# Share of the requests whose body is sent in pieces, and how long it takes.
SLOW_BODY_SHARE = 0.3
MAX_BODY_S = 1.5


class Kind(Enum):
    """The kind of a route; the value is the path prefix."""

    STREAM = "/stream/"
    SAFE = "/safe/"
    UNSAFE = "/unsafe/"


class ConnectionUse(NamedTuple):
    """How a request used its connection; times as in logs.

    The gateway's log names the address as peer when it closes the connection.

    Attributes:
        address: The caller's end.
        idle_since: When the last answer had been read; empty if it was new.
        chosen: When the request was begun.
        sent: When sending it was begun.
    """

    address: str = ""
    idle_since: str = ""
    chosen: str = ""
    sent: str = ""


class Outcome(NamedTuple):
    """A request and its answer.

    Attributes:
        status: 0 if there was no complete answer.
        problem: Why there was no complete answer although the request was
            sent.
        key: The key that it had, if requests need keys.
    """

    id: str
    kind: Kind
    gateway: int
    sent_s: float
    ended_s: float
    status: int
    body: bytes = b""
    problem: str = ""
    connection: ConnectionUse = ConnectionUse()
    key: workspaces.KeyUse | None = None


class _ConnectionTrace:
    """Follows which connection a request uses.

    Attributes:
        use: How it was used.
    """

    def __init__(self, last: ConnectionUse):
        self.use = last._replace(chosen=_log_time(), sent="")

    async def __call__(self, name: str, info: dict) -> None:
        """Receives httpcore's events."""
        if name == "connection.connect_tcp.complete":
            address = _address(info["return_value"])
            self.use = self.use._replace(address=address, idle_since="")
        elif name == "http11.send_request_headers.started":
            self.use = self.use._replace(sent=_log_time())


def _address(stream: httpcore.AsyncNetworkStream) -> str:
    return "{}:{}".format(*stream.get_extra_info("client_addr"))


def _log_time() -> str:
    return datetime.now(UTC).isoformat(timespec="milliseconds")


_Pooled = tuple[httpcore.AsyncConnectionPool, int]


class Callers:
    """Sends requests through all gateways until stopped.

    Attributes:
        outcomes: The outcome of each request.
    """

    def __init__(self, deployment: Deployment, seed: int):
        self.outcomes: list[Outcome] = []
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._key_rng = random.Random(f"keys of {seed}")
        self._ids = map("q{}".format, itertools.count())
        self._is_stopped = False
        # The connection of each caller's pool to a gateway.
        self._uses: dict[_Pooled, ConnectionUse] = {}

    def stop(self) -> None:
        """Makes callers stop after their current request."""
        self._is_stopped = True

    async def run_caller(self) -> None:
        """Sends one request after the other over persistent connections."""
        async with httpcore.AsyncConnectionPool(
            max_connections=len(self._deployment.gateway_addresses),
            keepalive_expiry=MAX_IDLE_S,
        ) as pool:
            while not self._is_stopped:
                kind = self._rng.choice(list(Kind))
                gateway = self._rng.randrange(
                    len(self._deployment.gateway_addresses)
                )
                await self.send_request(pool, gateway, kind, kind.value)
                await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    async def run_steady_caller(
        self,
        requests_per_s: float = STEADY_REQUESTS_PER_S,
        key: workspaces.KeyUse | None = None,
        is_turn: Callable[[float], bool] = lambda _now_s: True,
    ) -> None:
        """Sends plain requests at a steady rate, whatever is answered.

        Args:
            requests_per_s: The rate.
            key: The key of all requests; drawn for each without it.
            is_turn: Returns whether requests are sent at a time.
        """
        gateways = len(self._deployment.gateway_addresses)
        async with (
            httpcore.AsyncConnectionPool(
                max_connections=None, keepalive_expiry=MAX_IDLE_S
            ) as pool,
            asyncio.TaskGroup() as tasks,
        ):
            while not self._is_stopped:
                kind = self._rng.choice([Kind.SAFE, Kind.UNSAFE])
                gateway = self._rng.randrange(gateways)
                if is_turn(time.monotonic()):
                    tasks.create_task(
                        self.send_request(pool, gateway, kind, kind.value, key)
                    )
                await asyncio.sleep(self._rng.expovariate(requests_per_s))

    async def send_request(
        self,
        pool,
        gateway: int,
        kind: Kind,
        path: str,
        key: workspaces.KeyUse | None = None,
    ) -> Outcome:
        """Sends one request and records its outcome; draws a missing key."""
        if not self._deployment.plan.has_workspaces:
            key = None
        elif key is None:
            key = workspaces.choose(
                self._key_rng, self._deployment.version, time.monotonic()
            )
        request_id = next(self._ids)
        sent_s = time.monotonic()
        status, body, problem = 0, b"", ""
        headers = {
            "Host": "a.example",
            "Acaciaspoke-Attempt-Id": request_id,
            "Acaciaspoke-Time-Remaining-Ms": str(int(DEADLINE_S * 1000)),
        }
        if kind is Kind.STREAM:
            headers["Acaciaspoke-Model"] = self._rng.choice(["m1", "m2"])
        headers |= key.headers() if key else {}
        last = self._uses.get((pool, gateway), ConnectionUse())
        trace = _ConnectionTrace(last)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await pool.request(
                    "POST",
                    f"http://{self._deployment.gateway_addresses[gateway]}{path}",
                    headers=headers,
                    content=self._body(request_id.encode(), headers),
                    extensions={"trace": trace},
                )
            self._uses[pool, gateway] = trace.use._replace(
                idle_since=_log_time()
            )
            status, body = answer.status, answer.content
        except httpcore.ConnectError:
            # The process is down or stopping; nothing was sent.
            return self._record(request_id, kind, gateway, sent_s, 0)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            problem = f"{type(error).__name__}: {error}"
        except TimeoutError:
            problem = f"no answer within {ANSWER_TIMEOUT_S} s"
        return self._record(
            *(request_id, kind, gateway, sent_s, status, body, problem),
            *(trace.use, key),
        )

    def _body(self, body: bytes, headers: dict[str, str]):
        """Returns a body, or an iterator that sends it slowly."""
        if self._rng.random() >= SLOW_BODY_SHARE:
            return body
        if self._rng.random() < 0.5:
            headers["Content-Length"] = str(len(body))
        piece_s = self._rng.uniform(0.0, MAX_BODY_S) / len(body)

        async def pieces():
            for number in range(len(body)):
                await asyncio.sleep(piece_s)
                yield body[number : number + 1]

        return pieces()

    def _record(self, request_id, kind, gateway, sent_s, *result) -> Outcome:
        outcome = Outcome(
            request_id, kind, gateway, sent_s, time.monotonic(), *result
        )
        self.outcomes.append(outcome)
        return outcome
