"""Choose targets by this instance's attempts and the targets' load reports.

The lighter of two randomly drawn targets is chosen (Mitzenmacher, "The Power
of Two Choices in Randomized Load Balancing", 2001). If the prompt prefix is
known, the target that rendezvous hashing assigns to it is preferred, as long
as its weight is not much higher.
"""

import dataclasses
import hashlib
import random

from bambooring.routing import const
from bambooring.routing import messages
from bambooring_core.dispatch import messages as dispatch


@dataclasses.dataclass(slots=True, kw_only=True)
class Target:
    """A target as one entry instance knows it.

    ``own_attempts`` counts the running attempts of this instance.
    ``running`` and ``queued`` are those of all instances in the target's
    last load report; ``other_attempts`` is what the report had beyond this
    instance's own. ``failure_rate`` is a moving average from 0 to 1, at the
    time ``failure_rate_updated_at``; times are in seconds.
    """

    name: str
    service: str
    failure_domain: str
    address: str
    incarnation: int
    slots: int = 1
    is_linked: bool = False
    is_leaving: bool = False
    is_ready: bool = True
    own_attempts: int = 0
    running: int = 0
    queued: int = 0
    other_attempts: float = 0.0
    reported_at: float = 0.0
    failure_rate: float = 0.0
    failure_rate_updated_at: float = 0.0

    @property
    def is_usable(self) -> bool:
        """Return whether new attempts may be sent to the target."""
        return self.is_linked and self.is_ready and not self.is_leaving


class Router:
    """Choose the targets of attempts on one entry instance."""

    def __init__(self, *, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self.targets: dict[str, Target] = {}
        self._targets_by_service: dict[str, list[Target]] = {}
        # New attempts are not sent to targets in these failure domains.
        self.evacuated_domains: frozenset[str] = frozenset()

    def register(self, target: Target) -> Target:
        """Add a target, or update the one that is known under its name.

        A target of another incarnation replaces the known one. Of the same
        incarnation, only ``is_leaving`` is updated, and only to true.

        :param target: the target as announced
        :returns: the target that is kept
        """
        known = self.targets.get(target.name)
        if known is None:
            self.targets[target.name] = target
            self._targets_by_service.setdefault(target.service, []).append(
                target
            )
            return target
        if known.incarnation != target.incarnation:
            self.remove(target.name)
            return self.register(target)
        known.is_leaving = known.is_leaving or target.is_leaving
        return known

    def remove(self, name: str) -> None:
        """Remove a target, if it is known."""
        target = self.targets.pop(name, None)
        if target is not None:
            self._targets_by_service[target.service].remove(target)

    def get_targets(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return list(self._targets_by_service.get(service, ()))

    def choose_subset(self, service: str, instance: str) -> set[str]:
        """Choose the targets that an entry instance keeps links to.

        Rendezvous hashing (Thaler and Ravishankar, 1998) spreads the links
        of all instances evenly and changes few of them when targets come or
        go.

        :param service: the service
        :param instance: the entry instance's name
        :returns: the targets' names
        """
        targets = sorted(
            self.get_targets(service),
            key=lambda target: _hash_instance_and_target(
                instance, target.name
            ),
        )
        return {target.name for target in targets[: const.SUBSET_SIZE]}

    def update_load(self, name: str, load: dispatch.Load, now: float) -> None:
        """Store a target's load report.

        :param name: the target
        :param load: its report
        :param now: the current time in seconds
        """
        target = self.targets.get(name)
        if target is None:
            return
        target.running = load.running
        target.queued = load.queued
        target.slots = max(1, load.slots)
        target.is_leaving = target.is_leaving or load.is_leaving
        target.is_ready = load.is_ready
        target.other_attempts = max(
            0, load.running + load.queued - target.own_attempts
        )
        target.reported_at = now

    def start_attempt(self, name: str) -> None:
        """Count an attempt that is sent to a target."""
        target = self.targets.get(name)
        if target is not None:
            target.own_attempts += 1

    def end_attempt(self, name: str, is_failure: bool, now: float) -> None:
        """Stop counting an attempt and update the target's failure rate.

        :param name: the target
        :param is_failure: whether the attempt failed through the target
        :param now: the current time in seconds
        """
        target = self.targets.get(name)
        if target is None:
            return
        target.own_attempts = max(0, target.own_attempts - 1)
        rate = self._get_failure_rate(target, now)
        rate += (float(is_failure) - rate) * const.FAILURE_RATE_EWMA_WEIGHT
        target.failure_rate = rate
        target.failure_rate_updated_at = now

    def _get_failure_rate(self, target: Target, now: float) -> float:
        """Return a target's failure rate, which decays with time."""
        age = now - target.failure_rate_updated_at
        return target.failure_rate * 0.5 ** (
            age / const.FAILURE_RATE_HALF_LIFE_S
        )

    def weigh(self, target: Target, now: float) -> float:
        """Return the weight of a target; the lighter is the better choice.

        :param target: the target
        :param now: the current time in seconds
        :returns: the attempts per slot, with penalties added for failures
            and for another failure domain
        """
        age = now - target.reported_at
        other_attempts = target.other_attempts * 0.5 ** (
            age / const.LOAD_REPORT_HALF_LIFE_S
        )
        weight = (target.own_attempts + other_attempts) / target.slots
        rate = self._get_failure_rate(target, now)
        weight += rate * const.FAILURE_PENALTY
        if target.failure_domain != self._failure_domain:
            weight += const.OTHER_DOMAIN_PENALTY
        return weight

    def choose(self, query: messages.TargetQuery, now: float) -> Target | None:
        """Choose a target.

        :param query: the service and other conditions of the choice
        :param now: the current time in seconds
        :returns: the target, or None if no usable one is left
        """
        usable = [
            target
            for target in self._targets_by_service.get(query.service, ())
            if target.is_usable
            and target.failure_domain not in self.evacuated_domains
            and target.name not in query.excluded_targets
        ]
        if not usable:
            return None
        count = min(const.SAMPLED_TARGETS, len(usable))
        sampled = self._rng.sample(usable, count)
        lightest = min(sampled, key=lambda target: self.weigh(target, now))
        if not query.prefix_hash:
            return lightest
        preferred = max(
            usable,
            key=lambda target: _hash_prefix_and_target(
                query.prefix_hash, target.name
            ),
        )
        limit = self.weigh(lightest, now) + const.PREFIX_AFFINITY_MARGIN
        return preferred if self.weigh(preferred, now) <= limit else lightest


def _hash_instance_and_target(instance: str, target: str) -> bytes:
    return hashlib.blake2b(
        f'{instance}|{target}'.encode(), digest_size=8
    ).digest()


def _hash_prefix_and_target(prefix_hash: int, target: str) -> bytes:
    return hashlib.blake2b(
        f'{prefix_hash}|{target}'.encode(), digest_size=8
    ).digest()
