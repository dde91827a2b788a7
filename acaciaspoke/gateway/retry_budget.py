"""The retry budget of one host: its share of the budget of all hosts."""

from collections import deque
from collections.abc import Callable

# Share of the budget that a host uses; the rest covers messages in flight.
USED_SHARE = 0.7


class RetryBudget:
    """Limits the retries of one service to a share of its requests.

    Both are counted in a sliding window.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        hosts: Callable[[], int],
    ):
        """Prepares an empty window.

        Args:
            ratio: Retries allowed for each request.
            slack: Further retries allowed for all hosts together.
            window_s: Length of the window.
            hosts: Returns the number of hosts that share the slack.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._hosts = hosts
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Records a caller's request."""
        self._requests.append(now_s)
        self._expire(now_s)

    def record_retry(self, now_s: float) -> None:
        """Records a retry."""
        self._retries.append(now_s)

    def allows_retry(self, now_s: float) -> bool:
        """Returns whether one more retry is within the budget."""
        self._expire(now_s)
        slack = self._slack / max(1, self._hosts())
        allowed = USED_SHARE * (self._ratio * len(self._requests) + slack)
        return len(self._retries) + 1 <= allowed

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - self._window_s:
                times.popleft()
