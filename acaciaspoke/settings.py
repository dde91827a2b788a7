"""Settings of a process: a JSON file, validated as a whole at start-up."""

import ipaddress
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from acaciaspoke.errors import FieldError, UserError
from acaciaspoke.ids import Address, DomainId, HostId
from acaciaspoke.util.check import convert_all
from acaciaspoke.util.net import split_address

Duration = Annotated[float, Meta(gt=0, le=86400)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class SettingsError(UserError):
    """The settings are invalid; the message names every wrong field."""


class _Base(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Sets the options shared by the settings' types."""


class PlatformSettings(_Base):
    """Addresses of the platform's services.

    Attributes:
        table: ``ip:port`` of the table service.
        objects: ``ip:port`` of the object store.
        bucket: The bucket for configuration snapshots.
        hosts: ``ip:port`` of the host list.
        timeout_s: Timeout of one request to the platform.
    """

    table: str
    objects: str = ""
    bucket: str = "acaciaspoke"
    hosts: str = ""
    timeout_s: Duration = 2.0


class EntrySettings(_Base):
    """Settings of one entry process.

    Attributes:
        listen: ``ip:port`` for callers.
        mailbox: Address for messages from the control process.
        drain_notice_s: Time from a stop request to the close of the listener.
            Readiness fails in it, so that the load balancer stops sending
            before connections are refused.
        max_body_bytes: Maximum size of a request body.
        max_requests: Maximum number of concurrent requests.
    """

    listen: str
    mailbox: Address
    drain_notice_s: Annotated[float, Meta(ge=0, le=600)] = 5.0
    max_body_bytes: Annotated[int, Meta(gt=0)] = 4 * 1024 * 1024
    max_requests: Annotated[int, Meta(gt=0)] = 4096


class ControlSettings(_Base):
    """Settings of the control process of a host.

    Attributes:
        listen: ``ip:port`` of the administration API.
        mailbox: Address for messages.
        seeds: Mailboxes of control processes through which to join.
        admin_token_sha256: Hex digest of the operators' bearer token; if it
            is empty, everyone who can reach the address is accepted.
        lease_s: Duration of a lease without renewal.
    """

    listen: str
    mailbox: Address
    seeds: tuple[Address, ...] = ()
    admin_token_sha256: Annotated[str, Meta(pattern=r"^([0-9a-f]{64})?$")] = ""
    # The minimum is twice the renewal interval; a shorter lease could expire
    # between renewals.
    lease_s: Annotated[float, Meta(ge=6, le=300)] = 10.0


class Settings(_Base):
    """Settings of the processes of one host."""

    host: Name
    failure_domain: Name
    platform: PlatformSettings
    control: ControlSettings
    entry: tuple[EntrySettings, ...] = ()
    statsd: str = ""
    log_level: str = "info"

    @property
    def host_id(self) -> HostId:
        """The host's id."""
        return HostId(self.host)

    @property
    def domain_id(self) -> DomainId:
        """The id of the host's failure domain."""
        return DomainId(self.failure_domain)


def load_settings(path: Path) -> Settings:
    """Reads and validates the settings.

    Raises:
        SettingsError: If the file is missing, is not JSON, or has wrong
            fields; the message names all of them.
    """
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: not JSON: {error}") from error
    try:
        return check_settings(document)
    except ExceptionGroup as group:
        problems = "; ".join(str(problem) for problem in group.exceptions)
        raise SettingsError(f"{path}: {problems}") from group


def check_settings(document: object) -> Settings:
    """Converts a decoded JSON document to settings.

    Raises:
        ExceptionGroup: Of ``FieldError``, one for each wrong field.
    """
    settings, problems = convert_all(document, Settings)
    if settings is not None:
        problems = list(_check_addresses(settings))
    if problems:
        raise ExceptionGroup("wrong settings", problems)
    return settings


def _check_addresses(settings: Settings) -> Iterator[FieldError]:
    host_ports = {
        "platform.table": settings.platform.table,
        "platform.objects": settings.platform.objects,
        "platform.hosts": settings.platform.hosts,
        "control.listen": settings.control.listen,
        "statsd": settings.statsd,
    }
    host_ports |= {
        f"entry[{index}].listen": entry.listen
        for index, entry in enumerate(settings.entry)
    }
    optional = {"platform.objects", "platform.hosts", "statsd"}
    for path, address in host_ports.items():
        if address or path not in optional:
            yield from _check_host_port(path, address)
    mailboxes = {"control.mailbox": settings.control.mailbox}
    mailboxes |= {
        f"entry[{index}].mailbox": entry.mailbox
        for index, entry in enumerate(settings.entry)
    }
    mailboxes |= {
        f"control.seeds[{index}]": seed
        for index, seed in enumerate(settings.control.seeds)
    }
    for path, address in mailboxes.items():
        if not address.startswith("tcp://"):
            yield FieldError(path, "must be tcp://ip:port")
        else:
            yield from _check_host_port(path, address.removeprefix("tcp://"))


def _check_host_port(path: str, address: str) -> Iterator[FieldError]:
    try:
        split_address(address)
    except (ValueError, ipaddress.AddressValueError) as error:
        yield FieldError(path, str(error))
