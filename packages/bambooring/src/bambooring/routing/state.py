"""Weigh targets by what this instance sent and what they report.

The choice is between two random candidates (Mitzenmacher, "The Power of Two
Choices in Randomized Load Balancing", 2001) and, for a known prompt prefix,
the target that rendezvous hashing gives it, as long as that one is not much
fuller.
"""

import dataclasses
import hashlib
import random

from bambooring.routing import const
from bambooring.routing import messages
from bambooring_core.dispatch import messages as dispatch


@dataclasses.dataclass(slots=True, kw_only=True)
class Target:
    """Hold what is known of one target."""

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
        """Tell whether new attempts may be sent."""
        return self.is_linked and self.is_ready and not self.is_leaving


class Router:
    """Hold the targets and choose among them."""

    def __init__(self, *, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self.targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}

    def register(self, target: Target) -> Target:
        """Add a target, or update the address of one that is known.

        :param target: the target as announced
        :returns: the target that is kept
        """
        known = self.targets.get(target.name)
        if known is None:
            self.targets[target.name] = target
            self._by_service.setdefault(target.service, []).append(target)
            return target
        if known.incarnation != target.incarnation:
            self.remove(target.name)
            return self.register(target)
        known.is_leaving = known.is_leaving or target.is_leaving
        return known

    def remove(self, name: str) -> None:
        """Forget a target."""
        target = self.targets.pop(name, None)
        if target is not None:
            self._by_service[target.service].remove(target)

    def get_targets(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return list(self._by_service.get(service, ()))

    def choose_subset(self, service: str, instance: str) -> set[str]:
        """Choose the targets that an entry instance keeps links to.

        Rendezvous hashing (Thaler and Ravishankar, 1998) spreads them
        evenly and moves few as targets come and go.

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
        """Take a target's load report.

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
        """Take note of an attempt sent to a target."""
        target = self.targets.get(name)
        if target is not None:
            target.own_attempts += 1

    def end_attempt(self, name: str, is_failure: bool, now: float) -> None:
        """Take note of an attempt that ended on a target.

        :param name: the target
        :param is_failure: whether the target failed it
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
        age = now - target.failure_rate_updated_at
        return target.failure_rate * 0.5 ** (
            age / const.FAILURE_RATE_HALF_LIFE_S
        )

    def weigh(self, target: Target, now: float) -> float:
        """Weigh a target; the lighter is the better choice.

        :param target: the target
        :param now: the current time in seconds
        :returns: attempts a slot, with penalties added
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

        :param query: what it is wanted for
        :param now: the current time in seconds
        :returns: the target, or None if no usable one is left
        """
        usable = [
            target
            for target in self._by_service.get(query.service, ())
            if target.is_usable and target.name not in query.excluded_targets
        ]
        if not usable:
            return None
        count = min(const.SAMPLED_TARGETS, len(usable))
        sampled = self._rng.sample(usable, count)
        best = min(sampled, key=lambda target: self.weigh(target, now))
        if not query.prefix_hash:
            return best
        preferred = max(
            usable,
            key=lambda target: _hash_prefix_and_target(
                query.prefix_hash, target.name
            ),
        )
        limit = self.weigh(best, now) + const.PREFIX_AFFINITY_MARGIN
        return preferred if self.weigh(preferred, now) <= limit else best


def _hash_instance_and_target(instance: str, target: str) -> bytes:
    return hashlib.blake2b(
        f'{instance}|{target}'.encode(), digest_size=8
    ).digest()


def _hash_prefix_and_target(prefix: int, name: str) -> bytes:
    return hashlib.blake2b(f'{prefix}|{name}'.encode(), digest_size=8).digest()
