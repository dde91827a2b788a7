"""Finds the workspace that holds an API key."""

from collections.abc import Iterable

from loguru import logger

from acaciaspoke.gateway.api_keys.digest import (
    FINGERPRINT_DIGITS,
    digest_of,
)
from acaciaspoke.gateway.types import Workspace


class ApiKeys:
    """The API keys of one configuration.

    Attributes:
        are_required: Whether requests of routes that are not public need one.
    """

    def __init__(self, workspaces: Iterable[Workspace] = ()):
        self._workspaces: dict[bytes, Workspace] = {}
        workspaces = tuple(workspaces)
        self.are_required = bool(workspaces)
        for workspace in workspaces:
            for digest in workspace.key_digests:
                holder = self._workspaces.setdefault(digest, workspace)
                if holder is not workspace:
                    logger.warning(
                        "workspaces {} and {} have the same API key; it is"
                        " used for the first one",
                        holder.name,
                        workspace.name,
                        fingerprint=digest.hex()[:FINGERPRINT_DIGITS],
                    )

    def find(self, key: bytes) -> Workspace | None:
        """Returns the workspace that holds a key; None if none does."""
        if not (key and self._workspaces):
            return None
        return self._workspaces.get(digest_of(key))
