"""Define the settings of gateway processes."""

import dataclasses
import hashlib
import typing

# Keeps apart clusters that share a network; a network has one here.
CLUSTER_NAME: typing.Final = 'bambooring'


def derive_link_key(cluster: str) -> bytes:
    """Return the links' shared key.

    The platform hands out no secret; the key only keeps apart clusters.

    :param cluster: the cluster's name
    """
    return hashlib.sha256(f'links of {cluster}'.encode()).digest()


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """Hold what one process is told; addresses are 'IP:PORT'.

    ``link_address`` is where other processes link to this one; where that
    leads to another address, ``link_bind_address`` is what it listens on.
    ``seeds``
    are the link addresses of some control replicas. ``may_bootstrap`` allows
    the seeds to form the first group of voters. Times in seconds.
    """

    role: str
    cluster: str
    instance: str
    failure_domain: str
    link_address: str
    seeds: list[str]
    may_bootstrap: bool
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
    log_level: str = 'info'

    @property
    def link_key(self) -> bytes:
        """Return the links' shared key."""
        return derive_link_key(self.cluster)
