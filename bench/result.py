"""The result of a benchmark."""

import msgspec


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value with its bound.

    Attributes:
        bound: The largest allowed value, or the smallest if ``at_least`` is
            set; None for a value that is only reported.
        spread: The lowest and the highest value of several rounds.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False
    spread: tuple[float, float] | None = None

    @property
    def ok(self) -> bool:
        """Whether the bound is met."""
        if self.bound is None:
            return True
        if self.at_least:
            return self.value >= self.bound
        return self.value <= self.bound

    def to_json(self) -> str:
        """Returns the result as one line of JSON."""
        fields = msgspec.structs.asdict(self) | {"ok": self.ok}
        if self.spread is None:
            del fields["spread"]
        return msgspec.json.encode(fields).decode()
