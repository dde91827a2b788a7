"""Messages about the tokens of workspaces with a quota.

Hosts of earlier releases ignore them.
"""

from typing import Annotated

import msgspec

from acaciaspoke.gateway.message_base import BaseMessage, Number, Share
from acaciaspoke.ids import BootId, HostId, WorkspaceId

# Quotas are bounded by 64 bits; not-a-number is not within the bounds.
_Tokens = Annotated[float, msgspec.Meta(ge=0.0, le=2.0**63)]
MAX_WAIT_S = 1e6
_Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WAIT_S)]


class QuotaAsk(BaseMessage, kw_only=True):
    """Asks the owner of a workspace's bucket for the tokens of a request.

    Attributes:
        number: Identifies the ask at the host; a repeated one has the same.
        tokens: What the request needs.
        max_wait_s: How long the request can wait for them.
        recent_tokens: What the host has used lately, if another owner granted
            it.
        rate_per_s: The workspace's quota, for an owner whose configuration
            lacks it; not sent to an owner that has answered.
        burst_tokens: As above.
        asker: The host whose ask the sender passes on; None if its own.
        asker_boot: The boot of that host's process.
    """

    workspace: WorkspaceId
    number: Number
    tokens: _Tokens
    max_wait_s: _Seconds = 0.0
    recent_tokens: _Tokens = 0.0
    rate_per_s: _Tokens = 0.0
    burst_tokens: _Tokens = 0.0
    asker: HostId | None = None
    asker_boot: BootId | None = None


class QuotaAnswer(BaseMessage, kw_only=True):
    """The answer to an ask.

    Attributes:
        owner: The host that owns the bucket.
        number: The number of the ask.
        wait_s: The time until a denied request could have its tokens.
        level_share: The part of the burst that is unused.
        asker: The host to pass it on to; None if it is for the receiver.
    """

    workspace: WorkspaceId
    owner: HostId
    number: Number
    is_granted: bool = False
    wait_s: _Seconds = 0.0
    level_share: Share = 1.0
    asker: HostId | None = None


class QuotaSettlement(BaseMessage, kw_only=True):
    """What a host gives back, and what it has used without asking.

    Attributes:
        recent_tokens: What the host has used lately, if another owner granted
            it; sent when the owner changes.
    """

    workspace: WorkspaceId
    returned_tokens: _Tokens = 0.0
    used_tokens: _Tokens = 0.0
    recent_tokens: _Tokens = 0.0
