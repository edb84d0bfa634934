"""Define the settings of gateway processes."""

import dataclasses
import hashlib
import typing

# The cluster name keeps clusters on a shared network apart. A network has
# only one cluster here, so the name is fixed.
CLUSTER_NAME: typing.Final = 'bambooring'


def derive_link_key(cluster: str) -> bytes:
    """Return the shared key by which linked processes authenticate.

    The platform provides no secret, so the key does no more than keep the
    processes of different clusters apart.

    :param cluster: the cluster's name
    """
    return hashlib.sha256(f'links of {cluster}'.encode()).digest()


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """The settings of one process, as read from its settings file.

    Addresses are 'IP:PORT'; an empty one is not used. Other processes link to
    ``link_address``. If a relay forwards that to another address, the process
    listens on that one, ``link_bind_address``. ``seeds`` are the link
    addresses of some control replicas. ``may_bootstrap`` allows the seeds to
    form the first group of voters, ``tolerated_losses`` is how many control
    replicas may be lost at once.

    An entry instance serves callers at ``callers_address`` and readiness
    checks at ``ready_address``. A control replica serves operators and
    targets at ``control_address`` and stores its log in ``data_folder``.

    ``heartbeat_s`` is the interval between two announcements of a target,
    ``revoke_s`` how long a revoked key may still be accepted, ``stop_s`` the
    time from the request to stop until the process is killed. In any window
    of ``retry_window_s`` all instances together may retry ``retry_ratio`` of
    the requests plus ``retry_slack`` retries. Times are in seconds.

    ``regions_by_domain`` names the region of each failure domain of the
    cluster, and is empty if the platform doesn't tell. In any second a cold
    target may get ``cold_overrun`` times the rate of its service plus
    ``cold_slack`` requests; 0 for both sets no limit.

    ``memory_bytes`` and ``max_descriptors`` are the limits of the process, 0
    where the platform sets none. Agents accept permit requests at
    ``agent_port``, 0 for none. ``shares_health`` has entry instances tell each
    other which targets fail. ``prefers_own_domain`` keeps requests in their
    failure domain as long as leaving it doesn't pay; one megabyte between
    failure domains may then cost ``byte_cost_s_per_mb`` of callers' waiting.
    """

    role: str
    cluster: str
    instance: str
    failure_domain: str
    link_address: str
    seeds: list[str]
    may_bootstrap: bool
    tolerated_losses: int = 1
    link_bind_address: str = ''
    callers_address: str = ''
    ready_address: str = ''
    control_address: str = ''
    metrics_address: str = ''
    data_folder: str = ''
    heartbeat_s: float = 1.0
    revoke_s: float = 5.0
    stop_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 100.0
    regions_by_domain: dict[str, str] = dataclasses.field(default_factory=dict)
    cold_overrun: float = 0.0
    cold_slack: float = 0.0
    memory_bytes: int = 0
    max_descriptors: int = 0
    agent_port: int = 0
    shares_health: bool = False
    prefers_own_domain: bool = False
    byte_cost_s_per_mb: float = 0.0
    log_level: str = 'info'

    @property
    def link_key(self) -> bytes:
        """Return the shared key by which linked processes authenticate."""
        return derive_link_key(self.cluster)
