"""The operations behind the administration API of a control process."""

import time
from collections.abc import Callable, Iterable

from acaciaspoke.config.schema import Config
from acaciaspoke.config.store import ConfigStore, Submitted
from acaciaspoke.control.admin import Operations
from acaciaspoke.control.burn import BurnCollector
from acaciaspoke.control.configtask import ConfigTask
from acaciaspoke.control.configwatch import ConfigWatch
from acaciaspoke.control.domain_query import DomainCollector
from acaciaspoke.control.entry_processes import EntryProcesses
from acaciaspoke.control.fleetwatch import FleetWatch
from acaciaspoke.control.membership import Membership
from acaciaspoke.ids import ConfigVersion, DomainId, HostId
from acaciaspoke.net.messages import DomainAnswer
from acaciaspoke.report.burn import BurnReport
from acaciaspoke.report.status import LeaseStatus, Status, make_status
from acaciaspoke.util.drain import Drain


class AdminOperations:
    """Implements the operations with the parts of a control process."""

    def __init__(
        self,
        *,
        store: ConfigStore,
        watch: ConfigWatch,
        config_task: ConfigTask,
        membership: Membership,
        fleet: FleetWatch,
        entries: EntryProcesses,
        burn: BurnCollector,
        domains: DomainCollector,
        local_answer: Callable[[], DomainAnswer],
        drain: Drain,
    ):
        self._store = store
        self._watch = watch
        self._config_task = config_task
        self._membership = membership
        self._fleet = fleet
        self._entries = entries
        self._burn = burn
        self._domains = domains
        self._local_answer = local_answer
        self._drain = drain

    def functions(self) -> Operations:
        """Returns the functions that the administration API calls."""
        return Operations(
            config=self._config_at,
            submit=self._submit,
            history=self._store.history,
            host_versions=self._host_versions,
            status=self._status,
            burn=self._burn_report,
            not_ready=self._not_ready,
        )

    async def _config_at(self, version: ConfigVersion | None) -> Config:
        if version is None:
            return self._watch.config
        return await self._store.at(version)

    async def _submit(self, patch: object, **details) -> Submitted:
        submitted = await self._store.submit(patch, **details)
        await self._config_task.poll()
        return submitted

    async def _host_versions(self) -> dict[HostId, ConfigVersion]:
        others = await self._domains.collect(
            self._membership.foreign_contacts()
        )
        members = [*self._membership.known(), *others.members()]
        # A domain that does not respond is listed as a host with version 0, as
        # the versions in force there are unknown.
        unresponsive = {
            HostId(f"failure domain {domain}"): ConfigVersion(0)
            for domain in others.unresponsive
        }
        return unresponsive | {
            item.host: item.config_version for item in members
        }

    async def _status(self) -> Status:
        others = await self._domains.collect(
            self._membership.foreign_contacts()
        )
        return make_status(
            local_member=self._membership.me,
            config=self._watch.config,
            members=[*self._membership.known(), *others.members()],
            leases=_leases([self._local_answer(), *others.answers]),
            upstreams=self._fleet.views(time.monotonic()),
            entries=self._entries.hellos(),
        )

    async def _burn_report(self) -> BurnReport:
        return await self._burn.collect(
            self._membership.known(), self._watch.config
        )

    async def _not_ready(self) -> str:
        if not self._drain.serving:
            return "the process is stopping"
        return "" if self._watch.ready else "no configuration is confirmed"


def _leases(answers: Iterable[DomainAnswer]) -> dict[DomainId, LeaseStatus]:
    return {
        answer.failure_domain: LeaseStatus(
            holder=answer.lease_holder, epoch=answer.lease_epoch
        )
        for answer in answers
        if answer.lease_holder
    }
