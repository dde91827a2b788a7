"""Placement by the prompt parts that engines hold.

In go the requests that this host sends, with the parts of their prompts, and
what other hosts send and report; out come the tokens of a prompt that an engine
need not process again, the engine with the least expected wait, and reports.
"""

from acaciaspoke.gateway.prompts.holdings import CachedTokens, Holdings
from acaciaspoke.gateway.prompts.placement import (
    Candidate,
    engines_by_wait,
    session_preference,
)
from acaciaspoke.gateway.prompts.reports import merge_parts

__all__ = [
    "CachedTokens",
    "Candidate",
    "Holdings",
    "engines_by_wait",
    "merge_parts",
    "session_preference",
]
