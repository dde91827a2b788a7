"""Bounds of numbers in documents of the platform."""

from typing import Annotated

import msgspec

# Messages between hosts carry integers of 64 bits.
MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -(2**63)

Integer = Annotated[int, msgspec.Meta(ge=MIN_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_INTEGER))]
