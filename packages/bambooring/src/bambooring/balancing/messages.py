"""Define what is asked of the balancer and what it answers."""

import collections.abc
import dataclasses
import typing

from bambooring.balancing import const
from bambooring.balancing import domains as domains_module
from bambooring.loads import peers
from bambooring.targets import messages as targets

# A target and what all instances have running there.
LoadedTarget: typing.TypeAlias = tuple[targets.Target, peers.RunningLoad]


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetQuery:
    """What a request needs of the target that is chosen for it.

    ``excluded_ids`` are the ids of targets that can't get the request, such as
    those that already had it. Unless ``may_probe`` is set, a target that needs
    a probe after its rest is chosen only if no other one has room. With
    ``prefers_serving`` a target that runs requests goes before one with
    nothing to do, which may refuse all that it gets.

    ``extra_requests`` is how many requests a target may get beyond its slots.
    ``allowed_domains`` are the failure domains to choose from; only the own
    one is left if ``is_near_only`` is set. ``request_bytes`` is the size of
    the request, ``waited_s`` how long it has waited here, in seconds.
    """

    service: str
    excluded_ids: collections.abc.Container[str] = frozenset()
    may_probe: bool = True
    prefers_serving: bool = False
    extra_requests: int = const.EXTRA_REQUESTS_PER_TARGET
    allowed_domains: domains_module.Domains = None
    request_bytes: int = 0
    waited_s: float = 0.0
    is_near_only: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Choice:
    """A chosen target and the load that the choice was based on.

    ``running`` is the number of requests at the target, without the one it
    is chosen for. ``candidate_count`` is the number of targets that were
    compared. ``oldest_report_age_s`` is the age of the oldest load report
    of another instance, in seconds.
    """

    target: targets.Target
    running: int
    candidate_count: int
    oldest_report_age_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceCapacity:
    """The capacity of a service and how much of it is used.

    ``target_count`` counts all targets that may get requests,
    ``usable_target_count`` those of them that aren't ejected and don't rest.
    ``slots`` and ``running`` are totals over the usable targets.
    ``waiting_elsewhere`` is the number of requests that wait for the service
    at the other entry instances.
    """

    target_count: int
    usable_target_count: int
    slots: int
    running: int
    waiting_elsewhere: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Room:
    """What the usable targets of a service may run and do run.

    ``slots`` is how many requests they may run at once, ``running`` how many
    they run. ``free`` is how many slots aren't taken, ``near_free`` how many
    of them are in the instance's own failure domain. ``has_near`` is true if
    any of the targets is there.
    """

    free: int
    near_free: int
    has_near: bool
    slots: float
    running: int
