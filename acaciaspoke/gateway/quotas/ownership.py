"""Which quotas there are, and which hosts own their buckets; does no I/O."""

from collections.abc import Mapping

from acaciaspoke.gateway.quotas.messages import QuotaAsk
from acaciaspoke.gateway.types import Quota
from acaciaspoke.ids import HostId, WorkspaceId
from acaciaspoke.util.rendezvous import rank_by_link

# A host that has just started and knows no other yet grants this part of the
# quotas for a while, as there may be others.
JOINING_S = 1.0
JOINING_SHARE = 0.1

# How long a quota is valid that only another host's ask names. A configuration
# is in force at all hosts within 9 s.
LEARNED_VALID_S = 10.0
MAX_LEARNED = 256


class Ownership:
    """The quotas and the ranking of hosts for each.

    Attributes:
        quotas: The quotas of the configuration, and those learned of asks.
        owners: The owner of each bucket.
        seconds: The host that ranks next.
        share: The part of the quotas that this host's side grants.
    """

    def __init__(self, local_host: HostId):
        """Creates an ownership without quotas."""
        self._local_host = local_host
        self._configured: Mapping[WorkspaceId, Quota] = {}
        self._configured_s: float | None = None
        self._learned: dict[WorkspaceId, tuple[Quota, float]] = {}
        self._links_mbps: Mapping[HostId, float] = {}
        self.quotas: Mapping[WorkspaceId, Quota] = {}
        self.owners: dict[WorkspaceId, HostId] = {}
        self.seconds: dict[WorkspaceId, HostId] = {}
        self.share = 1.0

    def set_configured(
        self, quotas: Mapping[WorkspaceId, Quota], now_s: float
    ) -> None:
        """Sets the quotas of the configuration."""
        if self._configured_s is None:
            self._configured_s = now_s
        self._configured = quotas
        self._combine()

    def learn(self, ask: QuotaAsk, now_s: float) -> None:
        """Learns a quota that this host's older configuration lacks."""
        is_known = ask.workspace in self.quotas
        if is_known or not ask.rate_per_s or len(self._learned) >= MAX_LEARNED:
            return
        quota = Quota(
            tokens_per_s=ask.rate_per_s, burst_tokens=ask.burst_tokens
        )
        self._learned[ask.workspace] = (quota, now_s + LEARNED_VALID_S)
        self._combine()

    def update(
        self, links_mbps: Mapping[HostId, float], registered: int, now_s: float
    ) -> None:
        """Ranks the hosts, if something has changed.

        Args:
            links_mbps: The hosts that can own buckets, with the bandwidth of
                their links; this one is among them.
            registered: The number of registered hosts.
            now_s: The current time.
        """
        if any(until_s < now_s for _, until_s in self._learned.values()):
            self._learned = {
                name: learned
                for name, learned in self._learned.items()
                if learned[1] >= now_s
            }
            self._combine()
        self.share = self.share_of(len(links_mbps), registered, now_s)
        if (
            links_mbps == self._links_mbps
            and self.owners.keys() == self.quotas.keys()
        ):
            return
        self._links_mbps = links_mbps
        ranked = {
            name: rank_by_link(f"quota {name}", links_mbps, 2)
            for name in self.quotas
        }
        self.owners = {name: hosts[0] for name, hosts in ranked.items()}
        self.seconds = {name: hosts[-1] for name, hosts in ranked.items()}

    def owned(self) -> dict[WorkspaceId, Quota]:
        """Returns the quotas whose buckets this host owns."""
        return {
            name: self.quotas[name]
            for name, owner in self.owners.items()
            if owner == self._local_host
        }

    def share_of(self, hosts: int, registered: int, now_s: float) -> float:
        """Returns the part of the quotas for hosts that reach each other."""
        if max(hosts, registered) <= 1:
            since_s = self._configured_s
            is_joining = since_s is not None and now_s - since_s < JOINING_S
            return JOINING_SHARE if is_joining else 1.0
        # Both sides of a cut together stay within the quota.
        return hosts / max(hosts, registered)

    def _combine(self) -> None:
        learned = {name: quota for name, (quota, _) in self._learned.items()}
        self.quotas = {**learned, **self._configured}
