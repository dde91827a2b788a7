"""The log of configuration patches in the table, with snapshots beside it.

Rows: ``config/head`` names the last version, ``config/patch/N`` holds the
patch that made version N, ``config/patch-id/ID`` names the version that the
patch with this id made. The three are written in one transaction.
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

# Bounds the work of a restart to two snapshot reads and 511 patch rows, if one
# of the last two snapshots can be read.
SNAPSHOT_EVERY = 256
PAGE_ROWS = 256
COMMIT_ATTEMPTS = 3

HEAD_KEY = "config/head"
PATCH_PREFIX = "config/patch/"


class Submitted(NamedTuple):
    """An accepted patch.

    Attributes:
        read_back: Whether the log told so afterwards, because the patch id
            was repeated or the answer to the commit was lost.
    """

    version: ConfigVersion
    read_back: bool = False


class _Head(msgspec.Struct, frozen=True):
    version: ConfigVersion = ConfigVersion(0)


class ConfigStore:
    """The log and the newest version read from it.

    Attributes:
        config: The version in hand; it is only ever raised.
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
        """Reads the newest version by a linearizable read.

        Raises:
            ConfigUnavailable: If the table does not answer.
            ConfigLogError: If the log has a gap.
        """
        head, _ = await self._head(stale_ok=False)
        return await self._take(head)

    async def head(self, *, stale_ok: bool) -> ConfigVersion:
        """Returns the number of the last version.

        Raises:
            ConfigUnavailable: If the table does not answer.
        """
        return (await self._head(stale_ok=stale_ok))[0]

    async def refresh(self) -> Config:
        """Reads the head by a cheap read, which may be stale, and follows it.

        Raises:
            ConfigUnavailable: If the table does not answer.
        """
        head, _ = await self._head(stale_ok=True)
        if head > self.config.version + SNAPSHOT_EVERY:
            return await self._take(head)
        if head > self.config.version:
            self.apply_rows(await self.patches_after(self.config.version))
        return self.config

    def adopt_config(self, config: Config) -> None:
        """Takes a version in hand that was learned elsewhere."""
        self._raise_to(config)

    def apply_rows(self, rows: Iterable[PatchRow]) -> bool:
        """Applies rows from anywhere; tells whether the version rose.

        Raises:
            ConfigLogError: If the result is not a configuration.
        """
        return self._raise_to(advance(self.config, rows))

    async def patches_after(
        self, version: ConfigVersion, limit: int = PAGE_ROWS
    ) -> list[LogRow]:
        """Returns the patches after a version, oldest first.

        Raises:
            ConfigUnavailable: If the table does not answer.
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
            ConfigUnavailable: If the table does not answer.
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
            ConfigUnavailable: If the table does not answer.
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
            ConfigLogError: If the log is older than the version in hand.
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
        current = await self._take(head)
        # The version in hand may have risen since the head was read.
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
            self._raise_to(changed)
            if changed.version % SNAPSHOT_EVERY == 0:
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
        # The transaction may be sent again after its answer was lost, because
        # its condition on the patch id lets it take effect only once.
        for _ in range(COMMIT_ATTEMPTS):
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
                return _resolve(result, id_key)
        raise ConfigOutcomeUnknown(
            f"patch {row.patch_id} may have become version {row.version};"
            " submit it again with the same id"
        )

    async def _read_back(self, id_key: str) -> ConfigVersion:
        try:
            return _version_of(await self._table.read(id_key))
        except TableUnavailable:
            return ConfigVersion(0)

    def _raise_to(self, config: Config) -> bool:
        if config.version <= self.config.version:
            return False
        self.config = config
        return True

    async def _take(self, head: ConfigVersion) -> Config:
        if head > self.config.version:
            self._raise_to(await self._build(head))
        return self.config

    async def _build(self, version: ConfigVersion) -> Config:
        base = await self._base_of(version)
        boundary = version - version % SNAPSHOT_EVERY
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
                # it stored the snapshot.
                await self._save_snapshot(base)
        return base

    async def _base_of(self, version: ConfigVersion) -> Config:
        in_hand = self.config if self.config.version <= version else Config()
        if version - in_hand.version <= SNAPSHOT_EVERY:
            return in_hand
        boundary = version - version % SNAPSHOT_EVERY
        for candidate in (boundary, boundary - SNAPSHOT_EVERY):
            if candidate > in_hand.version:
                config = await self._read_snapshot(ConfigVersion(candidate))
                if config is not None:
                    return config
        return in_hand

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


def _resolve(conflict: Conflict, id_key: str) -> Submitted:
    # The same patch was submitted twice at a time, or a commit whose answer
    # was lost had taken effect.
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
    # Zero padded, so that the order of keys is the order of versions.
    return f"{PATCH_PREFIX}{version:012}"


def _id_key(patch_id: PatchId) -> str:
    return f"config/patch-id/{patch_id}"


def _snapshot_key(version: ConfigVersion) -> str:
    return f"config/snapshot/{version:012}"
