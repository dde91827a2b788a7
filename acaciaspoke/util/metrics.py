"""Metrics sent to statsd."""

import statsd

from acaciaspoke.util.net import split_address

PREFIX = "acaciaspoke"


class Metrics:
    """A statsd client; without an address, metrics are discarded."""

    def __init__(self, statsd_address: str = "", prefix: str = PREFIX):
        self._client = None
        if statsd_address:
            host, port = split_address(statsd_address)
            self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter."""
        if self._client:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._client:
            self._client.gauge(name, value)

    def timing_ms(self, name: str, delay_ms: float) -> None:
        """Records a duration in milliseconds."""
        if self._client:
            self._client.timing(name, delay_ms)
