"""Passes the configuration in force to hosts that have an older one.

A store that was restored from a copy may have an older configuration until the
operator has written the newer one again. A host that starts meanwhile would
serve the older one.
"""

from collections.abc import Callable, Iterable

from acaciaspoke.gateway.messages import RowAnswer, RowRequest
from acaciaspoke.gateway.table_follower import ApplyRows
from acaciaspoke.ids import HostId
from acaciaspoke.platform.store import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    FeedRow,
)

_ROW_KEY = f"{OPERATOR_TABLE}/{CONFIGURATION_KEY}"


class ConfigurationRelay:
    """Asks other hosts for the configuration's row and answers them.

    A configuration that does not fit into a datagram is not passed on.
    """

    def __init__(
        self,
        local_host: HostId,
        apply: ApplyRows,
        post: Callable[[RowRequest | RowAnswer, Iterable[HostId]], object],
    ):
        """Creates a relay without a configuration.

        Args:
            local_host: This host.
            apply: Applies rows of the operator's table; ignores configurations
                that are not newer than the one in force.
            post: Sends a message, which may be lost, to hosts.
        """
        self._local_host = local_host
        self._apply = apply
        self._post = post
        self._value = b""

    def record(self, value: bytes) -> None:
        """Records the row's value that is in force at this host."""
        self._value = value

    def request(self, hosts: Iterable[HostId]) -> None:
        """Asks hosts that may have a newer configuration."""
        self._post(RowRequest(key=_ROW_KEY, number=0), hosts)

    def handle_request(self, request: RowRequest) -> bool:
        """Answers a request; returns False if it is for another row."""
        if request.key != _ROW_KEY:
            return False
        if self._value:
            answer = RowAnswer(
                asked_by=request.host,
                number=request.number,
                key=_ROW_KEY,
                value=self._value,
            )
            self._post(answer, [request.host])
        return True

    def handle_answer(self, answer: RowAnswer) -> bool:
        """Applies an answer; returns False if it is for another row."""
        if answer.key != _ROW_KEY:
            return False
        if answer.asked_by == self._local_host and answer.value:
            row = FeedRow(CONFIGURATION_KEY, answer.value, answer.version)
            self._apply([row], False)
        return True
