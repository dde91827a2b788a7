"""API keys of workspaces: from a caller's key to the workspace that holds it.

In go the configuration's workspaces, with digests of their keys, and the key of
a request; out comes the workspace that holds it, or the answer if none does.
"""

from acaciaspoke.gateway.api_keys.digest import digest_of, fingerprint
from acaciaspoke.gateway.api_keys.freshness import (
    is_discovering,
    may_be_outdated,
)
from acaciaspoke.gateway.api_keys.lookup import ApiKeys
from acaciaspoke.gateway.api_keys.refusal import refuse

__all__ = [
    "ApiKeys",
    "digest_of",
    "fingerprint",
    "is_discovering",
    "may_be_outdated",
    "refuse",
]
