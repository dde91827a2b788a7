"""Decides which software version has begun a stream; does no I/O.

What two versions of an engine's software write does not fit together, so a
stream goes on only at the version that began it. Any host may get the request
with which a caller goes on, also after the host that began the stream has died.

Each service has a default version, which the store keeps. Streams that begin at
another version are recorded in the store before their first event is forwarded.
So a stream without a record began at the default version.
"""

import math
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from acaciaspoke.gateway.default_version import (
    MAX_VIEW_AGE_S,
    DefaultVersion,
    ServiceDefault,
)
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.types import Configuration, Request, RouteKind
from acaciaspoke.ids import ServiceId, SoftwareVersion

# Callers may wait longer than a route's timeout, over several requests, but not
# longer than this multiple of it.
STREAM_LIFE_TIMEOUTS = 2.0

# A store that was never restored is in this era, or in 0 if it names none.
FIRST_ERA = 1


class OriginSource(Enum):
    """What tells at which version a stream began."""

    MEMORY = "memory"
    RECORD = "record"
    DEFAULT = "default"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"


class Origin(NamedTuple):
    """The version that began a stream; None if it is not known.

    Attributes:
        reason: Why it is not known.
    """

    version: SoftwareVersion | None
    source: OriginSource
    reason: str = ""


def _unknown(reason: str) -> Origin:
    return Origin(None, OriginSource.UNKNOWN, reason)


class StreamVersions:
    """Default versions, and what follows from them for streams.

    Attributes:
        can_record: Whether records of streams are being confirmed.
        life_s: How long after its beginning a stream may be taken up.
    """

    def __init__(
        self,
        fleet: Fleet,
        store_era: Callable[[], int] = lambda: 0,
        view_age_s: Callable[[], float] = lambda: 0.0,
    ):
        """Creates an object that knows no default version.

        Args:
            fleet: The upstreams.
            store_era: Returns the highest known era of the store.
            view_age_s: Returns how long ago the upstreams were read.
        """
        self.can_record = True
        self._fleet = fleet
        self._store_era = store_era
        self._view_age_s = view_age_s
        self.life_s = 0.0
        self._services: dict[ServiceId, ServiceDefault] = {}
        # Records of streams that began before this may have been lost.
        self._restored_s = -math.inf
        self._started_s = math.inf
        # When the upstreams were read last, and since when without a pause.
        self._watched_s = math.inf
        self._watched_since_s = -math.inf

    def set_configuration(self, configuration: Configuration) -> None:
        """Applies the services whose streams may resume."""
        resumable = [
            route
            for route in configuration.routes
            if route.kind is RouteKind.STREAMING and route.resumable
        ]
        # Streams that began with a longer timeout may still run.
        self.life_s = max(
            self.life_s,
            STREAM_LIFE_TIMEOUTS
            * max((route.timeout_s for route in resumable), default=0.0),
        )
        names = {
            target.service for route in resumable for target in route.targets
        }
        self._services = {
            name: self._services.get(name) or ServiceDefault() for name in names
        }

    @property
    def services(self) -> list[ServiceId]:
        """The services whose streams may resume and that have upstreams."""
        served = self._fleet.versions_by_service()
        return [name for name in self._services if name in served]

    def default_version(self, service: ServiceId) -> SoftwareVersion | None:
        """Returns the default version of a service; None if not known."""
        state = self._services.get(service)
        if state is None or not state.is_read or state.default is None:
            return None
        return state.default.version

    def record_start(self, now_s: float) -> None:
        """Records that this host starts; the store may have been restored."""
        self._started_s = self._restored_s = now_s

    def record_restore(self, now_s: float) -> None:
        """Records that the store was restored; all rows are read again."""
        self._restored_s = now_s
        for state in self._services.values():
            state.is_read = False

    # The rows with the default versions.

    def observe(self, now_s: float) -> None:
        """Notes which default versions have upstreams."""
        is_current = self._view_age_s() <= MAX_VIEW_AGE_S
        if is_current:
            if now_s - self._watched_s > MAX_VIEW_AGE_S:
                self._watched_since_s = now_s
            self._watched_s = now_s
        versions_by_service = self._fleet.versions_by_service()
        for name, state in self._services.items():
            if state.default is None:
                continue
            versions = versions_by_service[name]
            if versions.keys() - {state.default.version}:
                state.others_seen_s = now_s
            is_present = state.default.version in versions
            state.record_view(is_present, is_current, now_s, self.life_s)
            self.expire(name, now_s)

    def expire(self, service: ServiceId, now_s: float) -> bool:
        """Has the row of a service read again if it was not read for long.

        Other hosts may have replaced the default version since. That upstreams
        have it says nothing about the row: they may have come back after the
        version was replaced.

        Returns:
            Whether the row cannot be relied on for this reason.
        """
        state = self._services.get(service)
        if state is None:
            return False
        return state.expire(now_s, self.life_s)

    def needs_read(self, service: ServiceId) -> bool:
        """Returns whether the row of a service has to be read."""
        state = self._services.get(service)
        return state is not None and (state.is_due or not state.is_read)

    def apply_row(
        self,
        service: ServiceId,
        default: DefaultVersion | None,
        revision: int,
        asked_s: float,
    ) -> None:
        """Applies the row of a service, as it was read or written.

        Args:
            service: The service.
            default: Its default version; None if there is no row.
            revision: Revision of the row; 0 if there is none.
            asked_s: When the read or write began.
        """
        state = self._services.get(service)
        if state is None:
            return
        state.apply_row(default, revision, asked_s)

    def row_to_write(
        self, service: ServiceId, now_s: float
    ) -> tuple[DefaultVersion, int] | None:
        """Returns the row to write and the revision that it replaces, if any.

        A default version without upstreams is replaced once all its streams
        have ended: those of other versions have records until then. Hosts with
        an older view may have begun some of them after this host saw the last
        upstream of that version.
        """
        state = self._services.get(service)
        if state is None or not state.is_read:
            return None
        default = state.default
        replaceable_s = self.life_s + MAX_VIEW_AGE_S
        if default is None or state.absence_s(now_s) >= replaceable_s:
            versions = self._fleet.versions(service)
            if not versions:
                return None
            commonest = max(sorted(versions), key=versions.__getitem__)
            row = self._new_default(default, commonest, now_s)
        elif default.era != self._store_era() and self._has_outlived(now_s):
            row = msgspec.structs.replace(default, era=self._store_era())
        elif state.is_lost:
            row = default
        else:
            return None
        return row, state.revision

    def _new_default(
        self,
        replaced: DefaultVersion | None,
        version: SoftwareVersion,
        now_s: float,
    ) -> DefaultVersion:
        if replaced is not None:
            return msgspec.structs.replace(
                replaced, version=version, epoch=replaced.epoch + 1
            )
        era = self._store_era()
        if era > FIRST_ERA and not self._has_outlived(now_s):
            # The store may have lost an earlier row, and records with it.
            era = 0
        return DefaultVersion(version=version, epoch=1, era=era)

    def _is_complete(self, service: ServiceId, now_s: float) -> bool:
        """Returns whether no record that a stream needs has been lost."""
        state = self._services.get(service)
        if state is None or state.default is None:
            return False
        return state.default.era == self._store_era() or self._has_outlived(
            now_s
        )

    def _has_outlived(self, now_s: float) -> bool:
        """Returns whether all streams began after the last restore."""
        return now_s - self._restored_s >= self.life_s

    # Streams.

    def needs_record(
        self, service: ServiceId, version: SoftwareVersion, now_s: float
    ) -> bool:
        """Returns whether a stream that begins at a version has a record.

        While the store may have lost records, the streams of the default
        version have some too: those without one are not known then. So have
        those that begin while another host may be replacing it.
        """
        return (
            version != self.default_version(service)
            or not self._services[service].is_settled
            or not self._is_complete(service, now_s)
        )

    def must_hold(self, service: ServiceId, version: SoftwareVersion) -> bool:
        """Returns whether a stream may not begin before its record.

        Without its record it would be taken for one of the default version,
        which matters only if that is another one and has upstreams. A view that
        is old does not tell whether it has some.
        """
        state = self._services.get(service)
        if state is None or state.default is None:
            return True
        is_current = self._view_age_s() <= MAX_VIEW_AGE_S
        if version == state.default.version:
            # Also while the row cannot be read: others replace it only if its
            # upstreams are gone for longer than a stream lasts.
            return is_current and not state.is_settled
        return not is_current or state.default.version in self._fleet.versions(
            service
        )

    def origin_without_record(self, service: ServiceId, now_s: float) -> Origin:
        """Returns where a stream began that the store has no record of."""
        state = self._services.get(service)
        default = self.default_version(service)
        if state is None or default is None:
            return _unknown("the default version is not known")
        if self._is_complete(service, now_s):
            return Origin(default, OriginSource.DEFAULT)
        if self._has_long_been_alone(service, now_s):
            return Origin(default, OriginSource.ONLY_VERSION)
        return _unknown("the store may have lost its record")

    def origin_without_store(self, service: ServiceId) -> Origin:
        """Returns that it is not known where a stream began.

        This host's view cannot tell, however recent it is: other hosts begin
        streams at an upstream as soon as they have read its record.
        """
        return _unknown(
            "the store does not answer; upstreams known"
            f" {self._view_age_s():.1f} s ago have the versions"
            f" {sorted(self._fleet.versions(service))}"
        )

    def origin_without_request(
        self, service: ServiceId, now_s: float
    ) -> Origin:
        """Returns where a stream began whose first request is not named."""
        if self._has_been_alone(service, now_s):
            default = self.default_version(service)
            return Origin(default, OriginSource.ONLY_VERSION)
        return _unknown("the caller does not name the request that began it")

    def _has_long_been_alone(self, service: ServiceId, now_s: float) -> bool:
        """Returns whether no stream at all can be of another version.

        Another one may have left just before this host started.
        """
        has_run_long = now_s - self._started_s >= self.life_s
        return has_run_long and self._has_been_alone(service, now_s)

    def _has_been_alone(self, service: ServiceId, now_s: float) -> bool:
        """Returns whether no known stream can be of another version.

        Those of a version that has left can still be continued.
        """
        state = self._services.get(service)
        default = self.default_version(service)
        return (
            default is not None
            and self._view_age_s() <= MAX_VIEW_AGE_S
            and set(self._fleet.versions(service)) == {default}
            and now_s - max(state.others_seen_s, self._watched_since_s)
            >= self.life_s
        )

    def preferred_version(self, request: Request) -> SoftwareVersion | None:
        """Returns the version at which a new stream should begin, if any.

        Streams at the default version need no record. It is the best guess also
        while the store does not confirm it.
        """
        route = request.route
        if route.kind is not RouteKind.STREAMING or not route.resumable:
            return None
        state = self._services.get(request.service)
        if request.version is not None or state is None:
            return None
        return state.default and state.default.version
