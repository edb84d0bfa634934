"""Define the messages by which failure domains exchange their load."""

import dataclasses
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'loads.capnp')
)


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceTotal:
    """What the entry instances of one failure domain report of a service.

    ``waiting`` is the number of requests that wait there for a target,
    ``waiting_by_urgency`` how many of them there are of each urgency, the most
    urgent first; an instance that doesn't know urgencies leaves it empty.
    ``gap_ms`` is the mean gap between two events of the streams there, over
    the ``gap_instances`` instances that have streams.
    """

    service: str
    waiting: int
    gap_ms: int = 0
    gap_instances: int = 0
    waiting_by_urgency: list[int] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA, 175)
@dataclasses.dataclass(slots=True, kw_only=True)
class DomainLoad:
    """The load that the entry instances of one failure domain cause.

    The relay of the domain sums it up and sends it to the other domains.
    ``sender`` is the relay's link address. ``target_keys``, ``running`` and
    ``tokens`` are columns with one row a target. A full summary has every
    target with load; the others have those that changed lately, with 0
    running requests where there is no load any more. ``age_ms`` is the age of
    the oldest report that it sums up.

    Each summary has all runs of targets that instances of the domain suspect:
    ``suspect_keys`` and ``suspect_counts`` are columns with the run and the
    number of instances that suspect it. ``sound_keys`` are suspected runs that
    completed a response lately.
    """

    failure_domain: str
    sender: str
    incarnation: int
    sequence: int
    is_full: bool
    age_ms: int
    target_keys: list[int]
    running: list[int]
    tokens: list[int]
    services: list[ServiceTotal]
    suspect_keys: list[int] = dataclasses.field(default_factory=list)
    suspect_counts: list[int] = dataclasses.field(default_factory=list)
    sound_keys: list[int] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA, 176)
@dataclasses.dataclass(slots=True, kw_only=True)
class RelayedLoads:
    """What a relay tells the entry instances of its own failure domain.

    It has the summaries that the other domains sent since the last message.
    One is sent at each interval, also without any summary, so that the others
    see that the relay is alive. ``sender`` is the relay's link address.
    """

    sender: str
    incarnation: int
    sequence: int
    domains: list[DomainLoad]
