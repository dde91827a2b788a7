"""Placement by the prompt parts that engines hold.

In go the requests that this host sends, with the parts of their prompts, and
the prompt tokens that other hosts send; out come the tokens of a prompt that an
engine need not process again, and the engine with the least expected wait.
"""

from acaciaspoke.gateway.prompts.holdings import CachedTokens, Holdings
from acaciaspoke.gateway.prompts.placement import (
    Candidate,
    engines_by_wait,
    session_preference,
)

__all__ = [
    "CachedTokens",
    "Candidate",
    "Holdings",
    "engines_by_wait",
    "session_preference",
]
