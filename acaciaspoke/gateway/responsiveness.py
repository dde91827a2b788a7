"""Since when a silent engine answers calls."""

from collections.abc import Callable

# Engines answer within a few milliseconds. A call that takes longer has waited
# at an engine that stood still, so that its answer tells nothing of the time
# before.
PROMPT_ANSWER_S = 0.2


class Responsiveness:
    """The answers of one engine to calls that are made in turn.

    Attributes:
        asked_s: When the latest call was made that was answered.
        answered_s: When its answer came.
        since_s: Since when all calls were answered promptly.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self.asked_s: float | None = None
        self.answered_s: float | None = None
        self.since_s: float | None = None

    def record_answer(self, asked_s: float) -> None:
        """Records an answer that has just come.

        Args:
            asked_s: When the call was made.
        """
        self.asked_s, self.answered_s = asked_s, self._clock()
        if self.since_s is None or self.answered_s - asked_s > PROMPT_ANSWER_S:
            self.since_s = self.answered_s

    def record_failure(self) -> None:
        """Records a call that was not answered."""
        self.since_s = None

    @property
    def duration_s(self) -> float:
        """How long the engine has answered promptly; 0 if it does not."""
        return 0.0 if self.since_s is None else self._clock() - self.since_s
