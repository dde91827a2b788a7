"""The memory of a stand-in engine and the orders that change it.

Orders are applied even if they overcommit the memory; overcommits are counted,
so that tests see when a real accelerator would have run out of memory.
"""

from collections import deque
from typing import NamedTuple

# Orders named in a report; the list of a real engine is bounded too.
RECENT_ORDERS = 64


class Key(NamedTuple):
    """A loaded version of a model or an adapter."""

    name: str
    version: str


class Loaded(NamedTuple):
    """Properties of a loaded artifact."""

    memory_bytes: int
    order_id: str
    base_model: str


class RefusedError(Exception):
    """An order that was not applied; ``status`` is the HTTP status."""

    def __init__(self, status: int, problem: str):
        super().__init__(problem)
        self.status = status


class Repository:
    """The artifacts in the memory of one boot of an engine.

    Attributes:
        overcommits: Number of loads that raised the used bytes above the
            memory.
    """

    def __init__(self, memory_bytes: int, checks_fencing: bool = False):
        self.memory_bytes = memory_bytes
        self.checks_fencing = checks_fencing
        self.fencing_token = 0
        self.overcommits = 0
        self.resident: dict[Key, Loaded] = {}
        self.recent_order_ids: deque[str] = deque(maxlen=RECENT_ORDERS)

    @property
    def used_bytes(self) -> int:
        """Bytes of all loaded artifacts."""
        return sum(item.memory_bytes for item in self.resident.values())

    def fence(self, token: int) -> None:
        """Checks a fencing token and raises the fence to a newer one.

        Raises:
            RefusedError: If the fence is at a newer token.
        """
        if not self.checks_fencing:
            return
        if token < self.fencing_token:
            raise RefusedError(409, f"fencing token is {self.fencing_token}")
        self.fencing_token = token

    def check_load(self, name: str, parameters: dict) -> None:
        """Checks an order before its weights are fetched.

        Raises:
            RefusedError: If the order has an old token or lacks its base.
        """
        self.fence(parameters.get("fencing_token", 0))
        base = parameters.get("base_model")
        if base and all(key.name != base for key in self.resident):
            raise RefusedError(400, f"{name} needs {base}")

    def load(self, name: str, parameters: dict) -> None:
        """Loads an artifact into memory.

        Repeated orders for the same version take its memory once.

        Raises:
            RefusedError: If the order has an old token or lacks its base.
        """
        self.check_load(name, parameters)
        before_bytes = self.used_bytes
        order_id = parameters.get("order_id", "")
        self.resident[Key(name, parameters.get("version", "1"))] = Loaded(
            parameters.get("memory_bytes", 0),
            order_id,
            parameters.get("base_model") or "",
        )
        self.recent_order_ids.append(order_id)
        if self.used_bytes > max(before_bytes, self.memory_bytes):
            self.overcommits += 1

    def unload(self, name: str, parameters: dict) -> None:
        """Frees the memory of an artifact; absent artifacts are accepted.

        Raises:
            RefusedError: If the order has an old token, or adapters still
                use the model.
        """
        self.fence(parameters.get("fencing_token", 0))
        key = Key(name, parameters.get("version", "1"))
        others = any(
            other.name == name and other != key for other in self.resident
        )
        used = any(item.base_model == name for item in self.resident.values())
        if key in self.resident and used and not others:
            raise RefusedError(400, f"adapters use {name}")
        self.resident.pop(key, None)
        self.recent_order_ids.append(parameters.get("order_id", ""))

    def index(self) -> list[dict]:
        """Returns the loaded artifacts in the form of the index."""
        return [
            {"name": key.name, "version": key.version, "state": "READY"}
            for key in self.resident
        ]

    def report(self) -> dict:
        """Returns the fields of a load report that describe the memory."""
        return {
            "memory_bytes": self.memory_bytes,
            "resident": [
                {
                    "name": key.name,
                    "version": key.version,
                    "memory_bytes": item.memory_bytes,
                    "order_id": item.order_id,
                }
                for key, item in self.resident.items()
            ],
            "recent_order_ids": list(self.recent_order_ids),
            "fencing_token": self.fencing_token,
        }
