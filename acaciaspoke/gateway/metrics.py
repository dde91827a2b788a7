"""Metrics of a gateway process."""

from collections.abc import Mapping
from contextlib import suppress

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from acaciaspoke.gateway.fairness.metrics import FairnessMetrics
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import UpstreamId

# From half the latency of a plain service to the longest deadline of callers.
LOOP_DELAY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)
LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0)

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4


class GatewayMetrics:
    """Registers and updates the metrics of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._answers = Counter(
            "acaciaspoke_answers",
            "Ended requests by route and result",
            ["route", "result"],
            registry=self.registry,
        )
        self._latency = Histogram(
            "acaciaspoke_first_answer_seconds",
            "Time from a request to the first event or the whole answer",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.loop_delay = Histogram(
            "acaciaspoke_loop_delay_seconds",
            "How late a task runs that is due every 50 ms",
            buckets=LOOP_DELAY_BUCKETS_S,
            registry=self.registry,
        )
        self.repeats = self._counter("repeats", "Repeated attempts")
        self.continued = self._counter(
            "continued", "Streams that went on from a copy of their run"
        )
        self.silent_runs = Counter(
            "acaciaspoke_silent_runs",
            "Runs of silent engines that were checked, by how they ended",
            ["end"],
            registry=self.registry,
        )
        self.broken_streams = Counter(
            "acaciaspoke_broken_streams",
            "Streams that had begun and were not finished, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.stream_records = self._counter(
            "stream_records", "Streams that began at another version"
        )
        self.unrecorded_streams = self._counter(
            "unrecorded_streams",
            "Streams that began at another version before that was recorded",
        )
        self.continued_streams = Counter(
            "acaciaspoke_continued_streams",
            "Requests that go on with an earlier stream, by what told at which"
            " version that began",
            ["known_by"],
            registry=self.registry,
        )
        self.callers_gone = self._counter("callers_gone", "Callers that left")
        self.orders = Counter(
            "acaciaspoke_orders",
            "Orders to engines by action and result",
            ["action", "result"],
            registry=self.registry,
        )
        self.unplaced = Counter(
            "acaciaspoke_unplaced",
            "Planning rounds in which a model with waiting requests got no"
            " order, by obstacle",
            ["obstacle"],
            registry=self.registry,
        )
        self.feed_calls = Counter(
            "acaciaspoke_feed_calls",
            "Calls to the store that follow a table",
            ["table"],
            registry=self.registry,
        )
        self.store_era = self._gauge(
            "store_era", "Highest known era of the store"
        )
        self.store_failures = self._counter(
            "store_failures", "Calls to the store without an answer"
        )
        self.invalid_loads = self._counter(
            "invalid_loads", "Responses with a load that cannot be decoded"
        )
        self.invalid_pauses = self._counter(
            "invalid_pauses", "Refusals with a Retry-After that is invalid"
        )
        self.invalid_limits = self._counter(
            "invalid_limits", "Responses with a limit that cannot be decoded"
        )
        self.invalid_brittle = self._counter(
            "invalid_brittle",
            "Responses with a number of survived refusals that cannot be"
            " decoded",
        )
        self.brittle = self._gauge(
            "brittle_upstreams", "Upstreams of services that are brittle"
        )
        self.place_reports = self._counter(
            "place_reports",
            "Reports of what this host uses of a brittle service",
        )
        self.place_grants = self._counter(
            "place_grants", "Grants of places as the owner of a room"
        )
        self._limits: dict[str, float] = {}
        self._limit = Gauge(
            "acaciaspoke_upstream_limit",
            "Requests a second that a limited upstream takes",
            ["upstream"],
            registry=self.registry,
        )
        self.limit_asks = self._counter(
            "limit_asks", "Asks for tokens for limited upstreams"
        )
        self.limit_tokens = Counter(
            "acaciaspoke_limit_tokens",
            "Tokens that this host got for a limited upstream",
            ["upstream"],
            registry=self.registry,
        )
        self.limit_grants = Counter(
            "acaciaspoke_limit_grants",
            "Tokens that this host granted as the owner of a budget",
            ["upstream"],
            registry=self.registry,
        )
        self.limit_refusals = self._counter(
            "limit_refusals", "Requests refused because of a limit"
        )
        self._slowdown = Gauge(
            "acaciaspoke_upstream_slowdown",
            "Mean time that work takes at an upstream, as a multiple of the"
            " usual time",
            ["upstream"],
            registry=self.registry,
        )
        self._slowdowns: dict[UpstreamId, float] = {}
        self.unauthenticated = self._counter(
            "unauthenticated", "Requests without an API key of a workspace"
        )
        self.fairness = FairnessMetrics(self.registry)
        self.quota_asks = self._counter(
            "quota_asks", "Asks for tokens of workspaces with a quota"
        )
        self.quota_unanswered = self._counter(
            "quota_unanswered", "Asks for tokens that no owner answered in time"
        )
        self.quota_late_answers = self._counter(
            "quota_late_answers", "Tokens granted for requests that had ended"
        )
        self.quota_returned_tokens = self._counter(
            "quota_returned_tokens", "Tokens of requests that were not sent"
        )
        self.quota_denials = Counter(
            "acaciaspoke_quota_denials",
            "Requests refused because their workspace had used its quota",
            ["workspace"],
            registry=self.registry,
        )
        self.prompt_tokens = Counter(
            "acaciaspoke_prompt_tokens",
            "Prompt tokens sent by parts, by whether the engine is expected to"
            " hold them",
            ["state"],
            registry=self.registry,
        )
        self.off_session_tokens = self._counter(
            "prompt_tokens_off_session",
            "Prompt tokens sent by parts to another engine than the session's",
        )
        self.forwarded = Counter(
            "acaciaspoke_forwarded",
            "Requests that were forwarded to another host, by their ending",
            ["ending"],
            registry=self.registry,
        )
        self.lost_links = self._gauge(
            "lost_links", "Upstreams to which this host cannot connect"
        )
        self.is_cut_off = self._gauge(
            "is_cut_off", "1 if this host has lost its links to upstreams"
        )
        self.served_for_hosts = self._counter(
            "served_for_hosts", "Requests that other hosts have forwarded here"
        )
        self.declined = self._counter(
            "declined", "Forwarded requests that this host declined"
        )
        self.connection_limits = Counter(
            "acaciaspoke_connection_limits",
            "Connections that reached a bound, by which one",
            ["limit"],
            registry=self.registry,
        )
        self.connections = self._gauge(
            "connections", "Open connections of all listeners"
        )
        self.connection_bytes = self._gauge(
            "connection_bytes", "Input and unread output of connections"
        )
        self.faults = self._counter("faults", "Unexpected errors")
        self.log_lines_dropped = self._gauge(
            "log_lines_dropped", "Log lines dropped for lack of room"
        )
        self.waiting = self._gauge("waiting", "Requests that wait")
        self.leaving = self._gauge(
            "leaving_upstreams", "Upstreams that are to get no new requests"
        )
        self.paused = self._gauge(
            "paused_upstreams", "Upstreams that have named a pause"
        )
        self.configuration = self._gauge(
            "configuration_version", "Version in force"
        )
        self.holds_lease = self._gauge(
            "holds_lease", "1 if this host gives the orders"
        )

    def record_response(
        self, route: str, first_s: float | None, result: str
    ) -> None:
        """Counts an ended request and, if it was served, its latency."""
        self._answers.labels(route, result).inc()
        if first_s is not None:
            self._latency.labels(route).observe(first_s)

    def record_prompt(self, request: Request) -> None:
        """Counts the prompt of a request that is placed by its parts."""
        if not request.has_sized_parts or request.resume_at is not None:
            return
        cached = request.expected_cached_tokens
        self.prompt_tokens.labels("cached").inc(cached)
        self.prompt_tokens.labels("uncached").inc(
            max(0.0, request.prompt_tokens - cached)
        )
        if request.is_off_session:
            self.off_session_tokens.inc(request.prompt_tokens)

    def set_limits(self, limits: Mapping[UpstreamId, float]) -> None:
        """Sets the limits in force; drops the series of former ones."""
        if limits == self._limits:
            return
        for upstream in self._limits.keys() - limits.keys():
            for metric in (self._limit, self.limit_tokens, self.limit_grants):
                with suppress(KeyError):
                    metric.remove(upstream)
        self._limits = dict(limits)
        for upstream, limit_per_s in limits.items():
            self._limit.labels(upstream).set(limit_per_s)

    def set_slowdowns(self, factors: Mapping[UpstreamId, float]) -> None:
        """Sets the slowdowns; drops the series of upstreams without one."""
        for upstream in self._slowdowns.keys() - factors.keys():
            with suppress(KeyError):
                self._slowdown.remove(upstream)
        self._slowdowns = dict(factors)
        for upstream, factor in factors.items():
            self._slowdown.labels(upstream).set(round(factor, 2))

    def exposition(self) -> bytes:
        """Returns all metrics in the text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"acaciaspoke_{name}", text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"acaciaspoke_{name}", text, registry=self.registry)
