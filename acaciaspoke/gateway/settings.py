"""Settings of a gateway process, read from a JSON file at the start."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from acaciaspoke.ids import DomainId, HostId
from acaciaspoke.settings import SettingsError
from acaciaspoke.util.net import split_address

Port = Annotated[int, Meta(gt=0, lt=65536)]
Milliseconds = Annotated[float, Meta(ge=0, le=600_000)]
Seconds = Annotated[float, Meta(gt=0, le=600)]


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one host's gateway.

    Attributes:
        host: Name of the host.
        failure_domain: Failure domain of the host.
        address: IP address of the host.
        listen: ``ip:port`` for callers.
        ready_listen: ``ip:port`` for the balancer's readiness check.
        internal_ports: First and last port for traffic between hosts.
        store: ``ip:port`` of the platform's metadata store.
        metrics_port: Port of the metrics address.
        memory_mb: Memory that the process may use.
        link_mbps: Bandwidth of the host's network link; 0 if unknown.
        is_first_start: Whether all hosts start for the first time.
        lease_silence_ms: Handover delay: time without orders between two
            leaders.
        drain_ms: Time for which a draining upstream may still get work.
        heartbeat_ms: Interval at which an upstream writes its record.
        stop_grace_s: Time between SIGTERM and the end of the process.
        retry_ratio: Retries allowed for each request of a service.
        retry_slack: Additional retries in a window, for all hosts together.
        retry_window_s: Length of that window.
        load_window_s: Window over which loads from the weight store count.
        log_level: Lowest level that is logged.
    """

    host: Annotated[str, Meta(min_length=1)]
    failure_domain: Annotated[str, Meta(min_length=1)]
    address: str
    listen: str
    ready_listen: str
    internal_ports: Annotated[tuple[Port, ...], Meta(min_length=2)]
    store: str
    metrics_port: Port = 7390
    memory_mb: Annotated[float, Meta(gt=0)] = 256.0
    link_mbps: Annotated[float, Meta(ge=0)] = 0.0
    is_first_start: bool = False
    lease_silence_ms: Milliseconds = 3000
    drain_ms: Milliseconds = 2000
    heartbeat_ms: Milliseconds = 1200
    stop_grace_s: Seconds = 8
    retry_ratio: Annotated[float, Meta(ge=0, le=10)] = 0.2
    retry_slack: Annotated[float, Meta(ge=0)] = 20
    retry_window_s: Seconds = 10
    load_window_s: Seconds = 5
    log_level: str = "info"

    @property
    def host_id(self) -> HostId:
        """The host's id."""
        return HostId(self.host)

    @property
    def domain_id(self) -> DomainId:
        """The id of the host's failure domain."""
        return DomainId(self.failure_domain)

    @property
    def peer_port(self) -> int:
        """The UDP port for messages between gateways."""
        return self.internal_ports[0]


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Reads and checks the settings.

    Raises:
        SettingsError: If they are invalid; the message names the field.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=GatewaySettings)
        for address in (settings.listen, settings.ready_listen, settings.store):
            split_address(address)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (msgspec.MsgspecError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return settings
