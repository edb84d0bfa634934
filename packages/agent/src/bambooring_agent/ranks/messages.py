"""Define the settings of a rank's agent."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """The settings of a rank's agent; addresses are 'IP:PORT'.

    ``seeds`` are the control replicas to connect to first. ``key`` is the
    key that authenticates links.
    """

    cluster: str
    instance: str
    failure_domain: str
    link_address: str
    engine_address: str
    service: str
    seeds: list[str]
    key: bytes
    metrics_address: str = ''
    log_level: str = 'info'
