"""The status document of the administration API, and its text form.

It shows the state known to one control process: its local failure domain in
full, and the known members of the others.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from acaciaspoke.config.schema import Config
from acaciaspoke.ids import (
    Address,
    ArtifactName,
    ConfigVersion,
    DomainId,
    HostId,
    RankId,
    ServiceId,
    UpstreamId,
)
from acaciaspoke.net.messages import EntryHello
from acaciaspoke.net.records import (
    Member,
    MemberState,
    UpstreamState,
    UpstreamView,
)
from acaciaspoke.report.text import EMPTY_CELL, table

# Artifact names in a cell of the text table; the JSON document has all.
MAX_NAMES_PER_CELL = 4


class _Struct(msgspec.Struct, frozen=True, kw_only=True):
    """Sets the options shared by the document's types."""


class HostStatus(_Struct):
    """A host of the membership list."""

    host: HostId
    state: MemberState
    config_version: ConfigVersion
    admin_address: str
    entry_processes: int


class LeaseStatus(_Struct):
    """The lease holder of a failure domain, as last read."""

    holder: HostId
    epoch: int


class UpstreamStatus(_Struct):
    """An upstream of the configuration.

    Attributes:
        resident: Artifacts in memory, with their versions.
        report_age_s: Age of its last report; None if there was none.
    """

    upstream: UpstreamId
    service: ServiceId
    state: UpstreamState
    slots: int
    running: int = 0
    waiting: int = 0
    resident: dict[ArtifactName, str] = {}
    report_age_s: float | None = None


class QueueStatus(_Struct):
    """The queue of an entry process of the responding host."""

    entry_process: Address
    config_version: ConfigVersion
    queued: dict[RankId, int]
    in_flight: int
    draining: bool


class DomainStatus(_Struct):
    """A failure domain.

    Attributes:
        lease: None if no holder is known.
        copies: Number of replicas of each resident artifact.
    """

    failure_domain: DomainId
    lease: LeaseStatus | None
    hosts: tuple[HostStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    copies: dict[ArtifactName, int] = {}


class Status(_Struct):
    """The state known to a control process.

    Attributes:
        versions: Number of known hosts with each version, without dead hosts.
        queues: Queues of the responding host's entry processes.
        absent_models: Models that are resident on no known upstream.
    """

    host: HostId
    failure_domain: DomainId
    config_version: ConfigVersion
    versions: dict[ConfigVersion, int]
    domains: tuple[DomainStatus, ...]
    queues: tuple[QueueStatus, ...] = ()
    absent_models: tuple[ArtifactName, ...] = ()


def make_status(
    *,
    local_member: Member,
    config: Config,
    members: Iterable[Member],
    leases: Mapping[DomainId, LeaseStatus],
    upstreams: Iterable[UpstreamView],
    entries: Iterable[EntryHello],
) -> Status:
    """Returns the document for the state of a control process.

    Args:
        local_member: The responding host.
        config: The configuration in force.
        members: All known members, with or without ``local_member``.
        leases: The lease rows as last read.
        upstreams: The known upstreams; others of the configuration are shown
            as unknown.
        entries: The last messages of the host's entry processes.
    """
    hosts = {member.host: member for member in [*members, local_member]}
    views = {view.upstream: view for view in upstreams}
    names = {
        *(member.failure_domain for member in hosts.values()),
        *(item.failure_domain for item in config.upstreams.values()),
        *leases,
    }
    domains = tuple(
        _domain_status(name, hosts.values(), leases.get(name), config, views)
        for name in sorted(names)
    )
    known = {name for domain in domains for name in domain.copies}
    alive = (m for m in hosts.values() if m.state is not MemberState.DEAD)
    return Status(
        host=local_member.host,
        failure_domain=local_member.failure_domain,
        config_version=config.version,
        versions=dict(
            sorted(Counter(member.config_version for member in alive).items())
        ),
        domains=domains,
        queues=tuple(
            QueueStatus(
                entry_process=entry.address,
                config_version=entry.config_version,
                queued=entry.queued,
                in_flight=entry.in_flight,
                draining=entry.draining,
            )
            for entry in sorted(entries, key=lambda entry: entry.address)
        ),
        absent_models=tuple(sorted(config.models.keys() - known)),
    )


def _domain_status(
    name: DomainId,
    members: Iterable[Member],
    lease: LeaseStatus | None,
    config: Config,
    views: Mapping[UpstreamId, UpstreamView],
) -> DomainStatus:
    upstreams = tuple(
        _upstream_status(upstream_id, config, views.get(upstream_id))
        for upstream_id, upstream in sorted(config.upstreams.items())
        if upstream.failure_domain == name
    )
    return DomainStatus(
        failure_domain=name,
        lease=lease,
        hosts=tuple(
            HostStatus(
                host=member.host,
                state=member.state,
                config_version=member.config_version,
                admin_address=member.admin_address,
                entry_processes=member.entry_processes,
            )
            for member in sorted(members, key=lambda member: member.host)
            if member.failure_domain == name
        ),
        upstreams=upstreams,
        copies=dict(
            Counter(
                artifact for item in upstreams for artifact in item.resident
            )
        ),
    )


def _upstream_status(
    upstream_id: UpstreamId, config: Config, view: UpstreamView | None
) -> UpstreamStatus:
    upstream = config.upstreams[upstream_id]
    status = UpstreamStatus(
        upstream=upstream_id,
        service=upstream.service,
        state=UpstreamState.UNKNOWN,
        slots=upstream.slots,
    )
    if view is None:
        return status
    return msgspec.structs.replace(
        status,
        state=view.state,
        running=view.running,
        waiting=view.waiting,
        resident=view.resident,
        # Without a boot id, no report has been received.
        report_age_s=view.report_age_s if view.boot_id else None,
    )


def _abbreviated_names(names: Iterable[str]) -> str:
    ordered = sorted(names)
    shown = ", ".join(ordered[:MAX_NAMES_PER_CELL])
    more = len(ordered) - MAX_NAMES_PER_CELL
    return f"{shown} and {more} more" if more > 0 else shown or EMPTY_CELL


def _domain_parts(domain: DomainStatus) -> Iterator[str]:
    lease = domain.lease
    holder = f"{lease.holder}, epoch {lease.epoch}" if lease else "nobody"
    yield f"failure domain {domain.failure_domain}; lease holder: {holder}"
    if domain.hosts:
        yield table(
            ("host", "state", "version", "entry processes", "admin"),
            (
                (
                    host.host,
                    host.state.value,
                    str(host.config_version),
                    str(host.entry_processes),
                    host.admin_address,
                )
                for host in domain.hosts
            ),
        )
    if domain.upstreams:
        yield table(
            (
                "upstream",
                "service",
                "state",
                "running",
                "waiting",
                "slots",
                "report age",
                "resident",
            ),
            map(_upstream_row, domain.upstreams),
        )


def _upstream_row(item: UpstreamStatus) -> tuple[str, ...]:
    age_s = item.report_age_s
    return (
        item.upstream,
        item.service,
        item.state.value,
        str(item.running),
        str(item.waiting),
        str(item.slots),
        EMPTY_CELL if age_s is None else f"{age_s:.1f} s",
        _abbreviated_names(item.resident),
    )


def _queue_row(queue: QueueStatus) -> tuple[str, ...]:
    queued = ", ".join(
        f"{rank} {count}" for rank, count in sorted(queue.queued.items())
    )
    return (
        queue.entry_process,
        str(queue.config_version),
        queued or EMPTY_CELL,
        str(queue.in_flight),
        "yes" if queue.draining else "no",
    )


def status_table(status: Status) -> str:
    """Returns the document as text."""
    versions = ", ".join(
        f"{version} ({hosts})" for version, hosts in status.versions.items()
    )
    parts = [
        f"answered by {status.host} in {status.failure_domain};"
        f" configuration {status.config_version}\n"
        f"versions in force (hosts): {versions}\n"
        f"models without a copy: {_abbreviated_names(status.absent_models)}"
    ]
    parts += ["\n".join(_domain_parts(domain)) for domain in status.domains]
    if status.queues:
        header = ("entry process", "version", "queued", "in flight", "draining")
        queues = table(header, map(_queue_row, status.queues))
        parts.append(f"queues of {status.host}\n{queues}")
    return "\n\n".join(parts)
