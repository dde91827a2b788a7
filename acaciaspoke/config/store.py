"""The log of configuration patches in the table, and snapshots of it.

Rows: ``config/head`` contains the last version, ``config/patch/N`` the patch
that created version N, ``config/patch-id/ID`` the version that the patch with
this id created. The three are written in one transaction. Snapshots are kept in
the object store.
"""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

import msgspec
from loguru import logger

from acaciaspoke.clients.objects import ObjectsClient, ObjectsError
from acaciaspoke.clients.table import (
    Committed,
    Condition,
    Conflict,
    OutcomeUnknown,
    Put,
    Row,
    TableClient,
    TableError,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.config.errors import (
    ConfigConflict,
    ConfigLogError,
    ConfigOutcomeUnknown,
    ConfigUnavailable,
    UnknownVersion,
)
from acaciaspoke.config.patch import apply_patch
from acaciaspoke.config.rows import LogRow, advance
from acaciaspoke.config.schema import Config
from acaciaspoke.ids import ConfigVersion, PatchId
from acaciaspoke.net.records import PatchRow
from acaciaspoke.util.metrics import Metrics

T = TypeVar("T")

# Limits a restart to two snapshot reads and 511 patch rows, if one of the last
# two snapshots can be read.
VERSIONS_PER_SNAPSHOT = 256
PAGE_ROWS = 256
MAX_COMMIT_ATTEMPTS = 3

HEAD_KEY = "config/head"
PATCH_PREFIX = "config/patch/"


class Submitted(NamedTuple):
    """An accepted patch.

    Attributes:
        read_back: Whether the version was read from the log, because the patch
            id was repeated or the response to the commit was lost.
    """

    version: ConfigVersion
    read_back: bool = False


class _Head(msgspec.Struct, frozen=True):
    version: ConfigVersion = ConfigVersion(0)


class ConfigStore:
    """The log and a cache of the newest known version.

    Attributes:
        config: The cached version, which never decreases.
    """

    def __init__(
        self,
        table: TableClient,
        objects: ObjectsClient | None,
        metrics: Metrics,
        clock_s: Callable[[], float] = time.time,
    ):
        self.config = Config()
        self._table = table
        self._objects = objects
        self._metrics = metrics
        self._clock_s = clock_s

    async def load(self) -> Config:
        """Returns the newest version by a linearizable read.

        Raises:
            ConfigUnavailable: If the table does not respond.
            ConfigLogError: If the log has a gap.
        """
        head, _ = await self._head(stale_ok=False)
        return await self._advance_to(head)

    async def head(self, *, stale_ok: bool) -> ConfigVersion:
        """Returns the number of the last version.

        Raises:
            ConfigUnavailable: If the table does not respond.
        """
        return (await self._head(stale_ok=stale_ok))[0]

    async def refresh(self) -> Config:
        """Updates the cache by a read that is cheap but may be stale.

        Raises:
            ConfigUnavailable: If the table does not respond.
        """
        head, _ = await self._head(stale_ok=True)
        if head > self.config.version + VERSIONS_PER_SNAPSHOT:
            return await self._advance_to(head)
        if head > self.config.version:
            self.apply_rows(await self.patches_after(self.config.version))
        return self.config

    def adopt_config(self, config: Config) -> None:
        """Caches a version that was received elsewhere, if it is newer."""
        self._adopt_if_newer(config)

    def apply_rows(self, rows: Iterable[PatchRow]) -> bool:
        """Applies rows from any source; returns whether the version changed.

        Raises:
            ConfigLogError: If the result is not a configuration.
        """
        return self._adopt_if_newer(advance(self.config, rows))

    async def patches_after(
        self, version: ConfigVersion, limit: int = PAGE_ROWS
    ) -> list[LogRow]:
        """Returns the patches after a version, oldest first.

        Raises:
            ConfigUnavailable: If the table does not respond.
        """
        try:
            rows = await self._table.scan(
                PATCH_PREFIX, limit, start_after=_patch_key(version)
            )
        except TableUnavailable as error:
            raise ConfigUnavailable(str(error)) from error
        return [_decode(row, LogRow) for row in rows]

    async def history(
        self, limit: int = 50, before: ConfigVersion | None = None
    ) -> list[LogRow]:
        """Returns the last patches, or those before a version, newest first.

        Raises:
            ConfigUnavailable: If the table does not respond.
        """
        if before is None:
            head, _ = await self._head(stale_ok=False)
            before = ConfigVersion(head + 1)
        start = ConfigVersion(max(0, before - 1 - limit))
        rows = await self.patches_after(start, limit)
        return [row for row in reversed(rows) if row.version < before]

    async def at(self, version: ConfigVersion) -> Config:
        """Returns the configuration of any version.

        Raises:
            UnknownVersion: If there is no such version.
            ConfigUnavailable: If the table does not respond.
        """
        if version == self.config.version:
            return self.config
        if version > self.config.version:
            await self.load()
        if not 0 <= version <= self.config.version:
            raise UnknownVersion(f"there is no version {version}")
        return await self._build(version)

    async def submit(
        self,
        patch: object,
        *,
        base_version: ConfigVersion,
        patch_id: PatchId,
        author: str,
    ) -> Submitted:
        """Commits a decoded merge patch.

        Raises:
            ConfigConflict: If ``base_version`` is not the current version.
            ExceptionGroup: Of ``FieldError``, if the result is not valid.
            ConfigUnavailable: If nothing was committed.
            ConfigOutcomeUnknown: If the patch may have been committed.
            ConfigLogError: If the log is older than the cached version.
        """
        earlier = _version_of(await self._read(_id_key(patch_id)))
        if earlier:
            return Submitted(earlier, read_back=True)
        known = self.config.version
        head, revision = await self._head(stale_ok=False)
        if head < known:
            raise ConfigLogError(
                f"the log ends at version {head}, and {known} is in force"
            )
        current = await self._advance_to(head)
        # The cached version may have increased since the head was read.
        if not base_version == current.version == head:
            raise ConfigConflict(current.version)
        changed = apply_patch(current, patch)
        row = LogRow(
            version=changed.version,
            patch_id=patch_id,
            author=author,
            merge_patch=msgspec.json.encode(patch).decode(),
            committed_at_s=self._clock_s(),
        )
        submitted = await self._commit(row, revision)
        if not submitted.read_back:
            self._adopt_if_newer(changed)
            if changed.version % VERSIONS_PER_SNAPSHOT == 0:
                await self._save_snapshot(changed)
        return submitted

    async def _commit(self, row: LogRow, head_revision: int) -> Submitted:
        id_key = _id_key(PatchId(row.patch_id))
        head = msgspec.json.encode(_Head(row.version))
        transaction = Transaction(
            (Condition(HEAD_KEY, head_revision), Condition(id_key)),
            (
                Put(HEAD_KEY, head),
                Put(_patch_key(row.version), msgspec.json.encode(row)),
                Put(id_key, head),
            ),
        )
        maybe_committed = False
        # The transaction may be sent again after a lost response: its condition
        # on the patch id ensures that it takes effect at most once.
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                result = await self._table.commit(transaction)
            except OutcomeUnknown:
                maybe_committed = True
                self._metrics.count("config.outcome_unknown")
                if version := await self._read_back(id_key):
                    return Submitted(version, read_back=True)
            except TableUnavailable as error:
                if not maybe_committed:
                    raise ConfigUnavailable(str(error)) from error
                break
            else:
                if isinstance(result, Committed):
                    return Submitted(row.version)
                return _resolve_conflict(result, id_key)
        raise ConfigOutcomeUnknown(
            f"patch {row.patch_id} may have become version {row.version};"
            " submit it again with the same id"
        )

    async def _read_back(self, id_key: str) -> ConfigVersion:
        try:
            return _version_of(await self._table.read(id_key))
        except TableUnavailable:
            return ConfigVersion(0)

    def _adopt_if_newer(self, config: Config) -> bool:
        if config.version <= self.config.version:
            return False
        self.config = config
        return True

    async def _advance_to(self, head: ConfigVersion) -> Config:
        if head > self.config.version:
            self._adopt_if_newer(await self._build(head))
        return self.config

    async def _build(self, version: ConfigVersion) -> Config:
        base = await self._base_for(version)
        boundary = version - version % VERSIONS_PER_SNAPSHOT
        while base.version < version:
            rows = await self.patches_after(base.version)
            stop = boundary if base.version < boundary else version
            config = advance(base, (r for r in rows if r.version <= stop))
            if config.version == base.version:
                raise ConfigLogError(
                    f"the log has no patch for version {base.version + 1}"
                )
            base = config
            if base.version == boundary:
                # The host that committed this version may have failed before
                # storing the snapshot.
                await self._save_snapshot(base)
        return base

    async def _base_for(self, version: ConfigVersion) -> Config:
        cached = self.config if self.config.version <= version else Config()
        if version - cached.version <= VERSIONS_PER_SNAPSHOT:
            return cached
        boundary = version - version % VERSIONS_PER_SNAPSHOT
        for candidate in (boundary, boundary - VERSIONS_PER_SNAPSHOT):
            if candidate > cached.version:
                config = await self._read_snapshot(ConfigVersion(candidate))
                if config is not None:
                    return config
        return cached

    async def _read_snapshot(self, version: ConfigVersion) -> Config | None:
        if self._objects is None:
            return None
        try:
            data = await self._objects.get(_snapshot_key(version))
            return data and msgspec.json.decode(data, type=Config)
        except (ObjectsError, msgspec.DecodeError) as error:
            self._metrics.count("config.snapshot_read_failed")
            logger.warning("cannot read snapshot {}: {}", version, error)
            return None

    async def _save_snapshot(self, config: Config) -> None:
        if self._objects is None:
            return
        key, data = _snapshot_key(config.version), msgspec.json.encode(config)
        try:
            await self._objects.put(key, data)
        except ObjectsError as error:
            self._metrics.count("config.snapshot_write_failed")
            logger.warning("cannot write snapshot {}: {}", key, error)

    async def _head(self, *, stale_ok: bool) -> tuple[ConfigVersion, int]:
        row = await self._read(HEAD_KEY, stale_ok)
        return _version_of(row), row.mod_revision if row else 0

    async def _read(self, key: str, stale_ok: bool = False) -> Row | None:
        try:
            return await self._table.read(key, stale_ok)
        except TableError as error:
            raise ConfigUnavailable(str(error)) from error


def _resolve_conflict(conflict: Conflict, id_key: str) -> Submitted:
    # The same patch was submitted concurrently, or a commit whose response was
    # lost had taken effect.
    if version := _version_of(conflict.rows[id_key]):
        return Submitted(version, read_back=True)
    raise ConfigConflict(_version_of(conflict.rows[HEAD_KEY]))


def _version_of(row: Row | None) -> ConfigVersion:
    if row is None:
        return ConfigVersion(0)
    return _decode(row, _Head).version


def _decode(row: Row, wanted: type[T]) -> T:
    try:
        return msgspec.json.decode(row.value, type=wanted)
    except msgspec.DecodeError as error:
        raise ConfigLogError(f"wrong row {row.key}: {error}") from error


def _patch_key(version: ConfigVersion) -> str:
    # Zero-padded, so that keys sort by version.
    return f"{PATCH_PREFIX}{version:012}"


def _id_key(patch_id: PatchId) -> str:
    return f"config/patch-id/{patch_id}"


def _snapshot_key(version: ConfigVersion) -> str:
    return f"config/snapshot/{version:012}"
