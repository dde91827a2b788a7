"""Merge patches (RFC 7396) of the configuration, and its validation."""

import functools
import itertools
import math
import re
import typing
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from acaciaspoke.config.schema import Config, Model, ServiceKind, Upstream
from acaciaspoke.errors import FieldError
from acaciaspoke.ids import ConfigVersion, ServiceId
from acaciaspoke.util.check import convert_all
from acaciaspoke.util.net import split_address

# Ids are used in table keys, URLs and metric names.
_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

# Sections of the configuration that map ids to entries.
SECTIONS = (
    "ranks",
    "services",
    "models",
    "adapters",
    "upstreams",
    "accounts",
)

_ENTRY_TYPES = {
    field.name: typing.get_args(field.type)[1]
    for field in msgspec.structs.fields(Config)
    if field.name in SECTIONS
}


def merge(target: Any, patch: Any) -> Any:
    """Returns ``target`` with a merge patch applied; modifies neither."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge(merged.get(key), value)
    return merged


def apply_patch(config: Config, patch: Any) -> Config:
    """Returns the next version: ``config`` with a decoded patch applied.

    Raises:
        ExceptionGroup: Of ``FieldError``, one for each invalid field of the
            resulting configuration.
    """
    if not isinstance(patch, dict):
        problem = FieldError("$", "a patch must be a JSON object")
        raise ExceptionGroup("invalid patch", [problem])
    problems = []
    if "version" in patch:
        problems.append(FieldError("version", "is set by the system"))
    document = merge(msgspec.to_builtins(config), patch)
    document["version"] = config.version + 1
    changed, type_problems = _convert(document)
    problems += type_problems
    problems += check(document, changed)
    if problems:
        problems.sort(key=lambda problem: problem.path)
        raise ExceptionGroup("invalid patch", problems)
    return changed


def _convert(document: dict) -> tuple[Config | None, list[FieldError]]:
    # Finding all problems takes many times as long as one conversion.
    try:
        return msgspec.convert(document, Config), []
    except msgspec.ValidationError:
        return convert_all(document, Config)


def apply_committed(
    config: Config, version: ConfigVersion, patches: Iterable[str]
) -> Config:
    """Applies patches that were validated before they were committed.

    Rules between entries are not checked again: a rule added by a newer release
    must not keep an accepted version from coming into force.

    Args:
        config: The configuration before the patches.
        version: The version that the last patch created.
        patches: The patches as JSON text, in order.

    Raises:
        msgspec.ValidationError: If the result is not a configuration.
    """
    decoded = [msgspec.json.decode(text) for text in patches]
    try:
        changed = functools.reduce(_apply_to_entries, decoded, config)
    except _NotEntriesError:
        document = functools.reduce(merge, decoded, msgspec.to_builtins(config))
        document["version"] = version
        return msgspec.convert(document, Config)
    return msgspec.structs.replace(changed, version=version)


class _NotEntriesError(Exception):
    """A patch changes more than entries of sections."""


def _apply_to_entries(config: Config, patch: Any) -> Config:
    """Applies a committed patch by converting only the entries it changes.

    Converting a whole configuration of the target size takes 13 ms, during
    which all streams of an entry process are blocked.

    Raises:
        _NotEntriesError: If the whole configuration has to be converted.
    """
    if not isinstance(patch, dict):
        raise _NotEntriesError
    changes = {}
    for section, parts in patch.items():
        if section not in SECTIONS or not isinstance(parts, dict):
            raise _NotEntriesError
        entries = dict(getattr(config, section))
        for entry_id, part in parts.items():
            if part is None:
                entries.pop(entry_id, None)
                continue
            current = msgspec.to_builtins(entries.get(entry_id))
            try:
                entries[entry_id] = msgspec.convert(
                    merge(current, part), _ENTRY_TYPES[section]
                )
            except msgspec.ValidationError as error:
                # A later patch may make the entry valid.
                raise _NotEntriesError from error
        changes[section] = entries
    return msgspec.structs.replace(config, **changes)


class _RuleInput(NamedTuple):
    """Input of the rules between entries.

    Attributes:
        config: The entries with valid types.
        known: The ids of all entries by section, so that a reference to an
            entry with invalid types is not reported as another problem. A
            section that is not an object is left out.
        all_upstreams: Whether every upstream has valid types.
    """

    config: Config
    known: Mapping[str, frozenset[str]]
    all_upstreams: bool

    def lacks(self, section: str, entry_id: str) -> bool:
        """Returns whether an id is certainly not in a section."""
        return section in self.known and entry_id not in self.known[section]


def check(document: dict, config: Config | None) -> Iterator[FieldError]:
    """Yields violations of the rules between entries of a whole document.

    Args:
        document: The document as decoded JSON.
        config: The converted document; None if it has invalid types, in which
            case the rules are applied to the entries with valid types.
    """
    sections = {
        name: document.get(name, {})
        for name in SECTIONS
        if isinstance(document.get(name, {}), dict)
    }
    typed = config or _valid_entries(sections)
    rule_input = _RuleInput(
        typed,
        {name: frozenset(entries) for name, entries in sections.items()},
        "upstreams" in sections
        and len(sections["upstreams"]) == len(typed.upstreams),
    )
    return itertools.chain.from_iterable(
        rule(rule_input)
        for rule in (
            _check_ids,
            _check_names,
            _check_references,
            _check_ranks,
            _check_upstreams,
            _check_accounts,
            _check_memory,
        )
    )


def _valid_entries(sections: Mapping[str, dict]) -> Config:
    valid: dict[str, dict] = {name: {} for name in SECTIONS}
    for name, entries in sections.items():
        for entry_id, entry in entries.items():
            try:
                part = msgspec.convert({name: {entry_id: entry}}, Config)
            except msgspec.ValidationError:
                continue
            valid[name].update(getattr(part, name))
    return Config(**valid)


def _check_ids(rule_input: _RuleInput) -> Iterator[FieldError]:
    rule = "an id has 1 to 63 letters, digits, '.', '_' or '-'"
    for section, ids in rule_input.known.items():
        for entry_id in ids:
            if not _ID.fullmatch(entry_id):
                yield FieldError(f"{section}.{entry_id}", rule)
    for upstream_id, upstream in rule_input.config.upstreams.items():
        if not _ID.fullmatch(upstream.failure_domain):
            path = f"upstreams.{upstream_id}.failure_domain"
            yield FieldError(path, rule)


def _check_names(rule_input: _RuleInput) -> Iterator[FieldError]:
    # Callers and engines name models and adapters in the same field.
    models = rule_input.known.get("models", frozenset())
    for name in models & rule_input.known.get("adapters", frozenset()):
        yield FieldError(f"adapters.{name}", "a model has the same name")


def _check_references(rule_input: _RuleInput) -> Iterator[FieldError]:
    config = rule_input.config
    for model_id, model in config.models.items():
        path = f"models.{model_id}.service"
        service = config.services.get(model.service)
        if rule_input.lacks("services", model.service):
            yield FieldError(path, f"no service {model.service!r}")
        elif service is not None and service.kind is not ServiceKind.ENGINE:
            yield FieldError(path, f"{model.service!r} has no model engines")
    for adapter_id, adapter in config.adapters.items():
        if rule_input.lacks("models", adapter.model):
            path = f"adapters.{adapter_id}.model"
            yield FieldError(path, f"no model {adapter.model!r}")
    for upstream_id, upstream in config.upstreams.items():
        if rule_input.lacks("services", upstream.service):
            path = f"upstreams.{upstream_id}.service"
            yield FieldError(path, f"no service {upstream.service!r}")


def _check_ranks(rule_input: _RuleInput) -> Iterator[FieldError]:
    ranks = rule_input.config.ranks
    total = math.fsum(rank.floor_share for rank in ranks.values())
    if total > 1 + 1e-9:
        problem = f"the floor shares add up to {total:.3f}, more than 1"
        for rank_id in ranks:
            yield FieldError(f"ranks.{rank_id}.floor_share", problem)
    levels = {rank_id: rank.level for rank_id, rank in ranks.items()}
    yield from _check_unique(levels, "ranks", "level")


def _check_upstreams(rule_input: _RuleInput) -> Iterator[FieldError]:
    upstreams = rule_input.config.upstreams
    for upstream_id, upstream in upstreams.items():
        try:
            split_address(upstream.address)
        except ValueError as error:
            path = f"upstreams.{upstream_id}.address"
            yield FieldError(path, str(error))
    addresses = {key: upstream.address for key, upstream in upstreams.items()}
    yield from _check_unique(addresses, "upstreams", "address")


def _check_accounts(rule_input: _RuleInput) -> Iterator[FieldError]:
    keys = {
        account_id: account.key_sha256
        for account_id, account in rule_input.config.accounts.items()
    }
    yield from _check_unique(keys, "accounts", "key_sha256")


def _check_unique(
    values: Mapping[str, Any], section: str, field: str
) -> Iterator[FieldError]:
    first_owner: dict[Any, str] = {}
    for entry_id, value in values.items():
        owner = first_owner.setdefault(value, entry_id)
        if owner != entry_id:
            path = f"{section}.{entry_id}.{field}"
            yield FieldError(path, f"{section}.{owner} has the same value")


def _check_memory(rule_input: _RuleInput) -> Iterator[FieldError]:
    config = rule_input.config
    if not rule_input.all_upstreams:
        return
    largest = _largest_memory(config.upstreams.values())

    def size_problem(model: Model | None, needed_bytes: int) -> str:
        # A service without upstreams may get them in a later patch.
        if model is None or model.service not in largest:
            return ""
        largest_bytes = largest[model.service]
        if needed_bytes <= largest_bytes:
            return ""
        return (
            f"needs {needed_bytes} bytes, and the largest upstream of"
            f" {model.service!r} has {largest_bytes}"
        )

    for model_id, model in config.models.items():
        if problem := size_problem(model, model.memory_bytes):
            yield FieldError(f"models.{model_id}.memory_bytes", problem)
    for adapter_id, adapter in config.adapters.items():
        model = config.models.get(adapter.model)
        base_bytes = model.memory_bytes if model else 0
        if problem := size_problem(model, base_bytes + adapter.memory_bytes):
            path = f"adapters.{adapter_id}.memory_bytes"
            yield FieldError(path, f"with its model, {problem}")


def _largest_memory(upstreams: Iterable[Upstream]) -> dict[ServiceId, int]:
    largest: dict[ServiceId, int] = {}
    for upstream in upstreams:
        known_bytes = largest.get(upstream.service, 0)
        largest[upstream.service] = max(known_bytes, upstream.memory_bytes)
    return largest
