"""API keys of workspaces: from a caller's key to the workspace that holds it.

In go the configuration's workspaces, with digests of their keys, and the key of
a request; out comes the workspace that holds it, or none.
"""

from acaciaspoke.gateway.api_keys.digest import digest_of, fingerprint
from acaciaspoke.gateway.api_keys.lookup import ApiKeys

__all__ = ["ApiKeys", "digest_of", "fingerprint"]
