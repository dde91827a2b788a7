"""Quotas of workspaces over all hosts.

In go requests of workspaces that have a quota, and the messages of other hosts;
out come refusals of requests beyond the quota. One host owns the token bucket
of a workspace; the others ask it for the tokens of each request.
"""

from acaciaspoke.gateway.quotas.exchange import QuotaExchange
from acaciaspoke.gateway.quotas.gate import QuotaGate, quota_tokens

__all__ = ["QuotaExchange", "QuotaGate", "quota_tokens"]
