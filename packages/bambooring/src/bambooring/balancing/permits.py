"""Send requests to cold targets only by permits of their agents.

In any second no more than a limit of requests may arrive at a cold target,
from all entry instances together. The agent in the target's slot hands out
permits for them (``bambooring_agent.permits``). An instance asks only while it
has requests that a cold target could serve, because a permit that isn't used
is lost to all others.

Two clocks are used. Permits expire on one that also advances while the machine
is suspended (``clock``): a suspended instance must not use what it held. How
long a target is cold is counted on the reactor's clock (``now_s``), which may
be slower: a target may be treated as cold for too long, never too briefly.
"""

import collections
import collections.abc
import dataclasses
import math
import random

from bambooring.balancing import const
from bambooring.balancing import permit_types
from bambooring.balancing import runs as runs_module
from bambooring.policy import messages as policy
from bambooring.targets import messages as targets
from bambooring_core import clock as clock_module
from bambooring_core.permits import const as permits_const
from bambooring_core.permits import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class Permit:
    """The permit of one attempt; it expires at ``end_s`` of ``clock``."""

    end_s: float
    clock: clock_module.Clock

    def is_valid(self) -> bool:
        """Return whether the attempt's request may be sent now."""
        return self.clock.now() < self.end_s


def compute_limit(
    service: policy.Service, overrun: float, slack: float
) -> int:
    """Return how many requests a cold target may get in any second.

    :param service: the service
    :param overrun: the factor of the service's rate
    :param slack: the constant that is added
    :returns: the limit, 0 for none
    """
    if not service.cold_requests_per_s or not overrun:
        return 0
    return math.floor(service.cold_requests_per_s * overrun + slack)


class ColdTargets:
    """Track the cold targets and the permits that this instance holds.

    ``runs`` are the cold runs of targets, also of services without a limit.
    ``on_demand`` is called when a request could use a permit; it is None if
    there is no way to ask for them. ``outcomes`` counts what became of
    requests for permits and of permits.
    """

    def __init__(
        self, failure_domain: str, clock: clock_module.Clock | None = None
    ) -> None:
        self._failure_domain = failure_domain
        self.clock = clock or clock_module.BootClock()
        self.on_demand: collections.abc.Callable[[], None] | None = None
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._changes: dict[runs_module.Run, permit_types.ColdChange] = {}
        self._limits: dict[str, int] = {}
        self.runs: dict[runs_module.Run, permit_types.ColdRun] = {}
        self._warm_runs: set[runs_module.Run] = set()
        self._next_end_s = math.inf
        # The targets that the last call of ``withhold`` left out and whose
        # agents may be asked for permits now.
        self._withheld: list[targets.Target] = []
        self._demands: dict[str, permit_types.Demand] = {}
        self._asks: dict[int, permit_types.Ask] = {}
        self._sequence = 0

    def set_limits(self, limits: collections.abc.Mapping[str, int]) -> None:
        """Replace the limits; services without one need no permits.

        :param limits: by service, how many requests a cold target may get in
            any second; 0 for no limit
        """
        self._limits = {name: limit for name, limit in limits.items() if limit}

    def set_known_runs(
        self, runs: collections.abc.Container[runs_module.Run]
    ) -> None:
        """Forget runs that take no new work, if there are many of them."""
        if len(self.runs) + len(self._warm_runs) < const.COLD_RUNS_MAX:
            return
        self._warm_runs = {run for run in self._warm_runs if run in runs}
        self.runs = {
            run: cold for run, cold in self.runs.items() if run in runs
        }

    def record_announcement(
        self, target: targets.Target, now_s: float
    ) -> None:
        """Record whether an announcement that has just arrived says cold."""
        if target.cold_ms:
            delay_s = const.COLD_AGAIN_DELAY_S
            self._set_cold(target, target.cold_ms, now_s, delay_s)
            return
        run = runs_module.get_run(target)
        cold = self.runs.get(run)
        if cold is None:
            self._warm_runs.add(run)
        elif now_s - cold.stated_s > const.COLD_STATEMENT_HOLD_S:
            self._set_warm(run)

    def record_statement(
        self, target: targets.Target, cold_ms: int, now_s: float
    ) -> None:
        """Record that a response of a target says that it is cold.

        :param target: the target
        :param cold_ms: for how long it is cold from when it responded
        :param now_s: the current time in seconds
        """
        delay_s = const.COLD_AGAIN_DELAY_S + const.COLD_NEWS_DELAY_S
        cold = self._set_cold(target, cold_ms, now_s, delay_s)
        cold.stated_s = now_s

    def _set_cold(
        self,
        target: targets.Target,
        cold_ms: int,
        now_s: float,
        again_delay_s: float,
    ) -> permit_types.ColdRun:
        """Treat a target as cold, if it isn't yet.

        :param again_delay_s: how long to ask for no permits if it was warm
        """
        run = runs_module.get_run(target)
        until_s = now_s + cold_ms / 1000 + const.COLD_MARGIN_S
        cold = self.runs.get(run)
        if cold is not None:
            cold.until_s = max(cold.until_s, until_s)
            return cold
        cold = permit_types.ColdRun(target=target, until_s=until_s)
        if run in self._warm_runs:
            # Requests that were sent without a permit may still arrive, and
            # they count within the same second.
            cold.ask_from_s = now_s + again_delay_s
            self._warm_runs.discard(run)
        self.runs[run] = cold
        self._next_end_s = min(self._next_end_s, until_s)
        self._changes[run] = permit_types.ColdChange(
            target=target, is_cold=True, remaining_s=until_s - now_s
        )
        return cold

    def _set_warm(self, run: runs_module.Run) -> None:
        cold = self.runs.pop(run)
        self.outcomes['expired'] += len(cold.permit_ends_s)
        self._warm_runs.add(run)
        self._changes[run] = permit_types.ColdChange(
            target=cold.target, is_cold=False, remaining_s=0.0
        )

    def update(self, now_s: float) -> None:
        """End the cold time of targets for which it is over."""
        if now_s < self._next_end_s:
            return
        for run, cold in list(self.runs.items()):
            if now_s >= cold.until_s:
                self._set_warm(run)
        self._next_end_s = min(
            (cold.until_s for cold in self.runs.values()),
            default=math.inf,
        )

    def take_changes(self) -> list[permit_types.ColdChange]:
        """Return the targets that became cold or warm since the last call."""
        changes = list(self._changes.values())
        self._changes.clear()
        return changes

    def _get(self, target: targets.Target) -> permit_types.ColdRun | None:
        """Return the state of a cold target whose service has a limit."""
        if not self.runs or target.service not in self._limits:
            return None
        return self.runs.get((target.id, target.born_ms))

    def limit_slots(
        self, target: targets.Target, slots: int, mean_duration_s: float
    ) -> int:
        """Return how many slots of a target its permits can keep busy.

        :param target: the target
        :param slots: how many it has
        :param mean_duration_s: the mean duration of its service's requests
        """
        if self._get(target) is None:
            return slots
        permits_per_s = (
            self._limits[target.service] / permits_const.GRANT_WINDOW_S
        )
        return min(slots, max(1, math.floor(permits_per_s * mean_duration_s)))

    def is_cold(self, target: targets.Target) -> bool:
        """Return whether requests to a target need permits."""
        return self._get(target) is not None

    def is_reachable(self, target: targets.Target) -> bool:
        """Return whether a target is warm or its agent may grant permits."""
        cold = self._get(target)
        if cold is None or cold.permit_ends_s:
            return True
        return (
            self.on_demand is not None
            and cold.unanswered_count < const.UNANSWERED_ASKS_LIMIT
        )

    def withhold(
        self, service: str, candidates: list[targets.Target], now_s: float
    ) -> list[targets.Target]:
        """Return the candidates without the cold ones that lack a permit."""
        self._withheld = []
        if not self.runs or service not in self._limits:
            return candidates
        boot_now_s = self.clock.now()
        usable = []
        for target in candidates:
            cold = self.runs.get((target.id, target.born_ms))
            if cold is None or self._has_permit(cold, boot_now_s):
                usable.append(target)
            elif now_s >= cold.ask_from_s:
                self._withheld.append(target)
        return usable

    def draw_withheld(self, rng: random.Random) -> list[targets.Target]:
        """Return some withheld targets that may be asked for permits.

        Those in this instance's failure domain come first. At most a few are
        returned, because each of them is scored, and few are asked.
        """
        count = const.DEMAND_TARGETS_MAX
        if len(self._withheld) <= count:
            return self._withheld
        near: list[targets.Target] = []
        far: list[targets.Target] = []
        for target in self._withheld:
            is_near = target.failure_domain == self._failure_domain
            (near if is_near else far).append(target)
        if len(near) >= count:
            return rng.sample(near, count)
        return near + rng.sample(far, count - len(near))

    def _has_permit(
        self, cold: permit_types.ColdRun, boot_now_s: float
    ) -> bool:
        """Drop the permits that are about to expire.

        :returns: whether any is left
        """
        ends_s = cold.permit_ends_s
        oldest_end_s = boot_now_s + const.PERMIT_RESERVE_S
        while ends_s and ends_s[0] <= oldest_end_s:
            ends_s.pop(0)
            self.outcomes['expired'] += 1
        return bool(ends_s)

    def take_permit(self, target: targets.Target) -> Permit | None:
        """Take a permit for an attempt that is started now.

        :param target: the target of the attempt
        :returns: the permit, None if the target needs none. If it needs one
            and there is none, the permit has expired.
        """
        cold = self._get(target)
        if cold is None:
            return None
        if not self._has_permit(cold, self.clock.now()):
            return Permit(end_s=-math.inf, clock=self.clock)
        self.outcomes['used'] += 1
        return Permit(end_s=cold.permit_ends_s.pop(0), clock=self.clock)

    def is_demand_new(self, service: str, is_blocked: bool) -> bool:
        """Return whether demand for the withheld targets should be recorded.

        One record is enough until the requests for it are made.
        """
        if not self._withheld or self.on_demand is None:
            return False
        demand = self._demands.get(service)
        return demand is None or (is_blocked and not demand.is_blocked)

    def record_demand(
        self,
        service: str,
        wanted_targets: list[targets.Target],
        is_blocked: bool,
    ) -> None:
        """Record that a request could use a permit.

        :param service: the service
        :param wanted_targets: the cold targets without a permit that could
            take the request, the best one first
        :param is_blocked: whether no other target could take it
        """
        if not wanted_targets or self.on_demand is None:
            return
        self._demands[service] = permit_types.Demand(
            targets=wanted_targets, is_blocked=is_blocked
        )
        self.on_demand()

    def make_requests(
        self,
        *,
        sender: str,
        incarnation: int,
        queued: collections.abc.Mapping[str, int],
        now_s: float,
    ) -> list[tuple[targets.Target, messages.PermitRequest]]:
        """Return the requests for permits that are due, by target.

        They must be sent at once: permits are valid from now on.

        :param sender: this instance's link address
        :param incarnation: the number of this instance's run
        :param queued: by service, how many requests wait here
        :param now_s: the current time in seconds
        """
        boot_now_s = self.clock.now()
        self._drop_old_asks(boot_now_s)
        requests = []
        for service, demand in self._demands.items():
            limit = self._limits.get(service, 0)
            needed = max(queued.get(service, 0), 1) if demand.is_blocked else 1
            needed -= self._count_expected(service, boot_now_s)
            for target in self._choose_asked(demand, needed, now_s):
                wanted = min(needed, permits_const.MAX_WANTED)
                needed -= wanted
                self._record_ask(target, wanted, now_s, boot_now_s)
                request = messages.PermitRequest(
                    sender=sender,
                    incarnation=incarnation,
                    sequence=self._sequence,
                    target_id=target.id,
                    born_ms=target.born_ms,
                    limit_per_s=min(limit, permits_const.MAX_LIMIT),
                    wanted=wanted,
                )
                requests.append((target, request))
        self._demands.clear()
        return requests

    def _drop_old_asks(self, boot_now_s: float) -> None:
        sent_before_s = boot_now_s - permits_const.PERMIT_TTL_S
        for sequence, ask in list(self._asks.items()):
            if ask.sent_s <= sent_before_s:
                del self._asks[sequence]

    def _count_expected(self, service: str, boot_now_s: float) -> int:
        """Return the permits for a service that are held or asked for."""
        count = sum(
            len(cold.permit_ends_s)
            for cold in self.runs.values()
            if cold.target.service == service
            and self._has_permit(cold, boot_now_s)
        )
        answer_by_s = boot_now_s - const.PERMIT_ANSWER_TIMEOUT_S
        for ask in self._asks.values():
            cold = self.runs.get(ask.run)
            if (
                cold is not None
                and cold.target.service == service
                and ask.sent_s > answer_by_s
            ):
                count += ask.wanted
        return count

    def _choose_asked(
        self, demand: permit_types.Demand, needed: int, now_s: float
    ) -> list[targets.Target]:
        """Return the targets to ask, enough for the needed permits.

        Targets in this instance's failure domain are asked first.
        """
        count = min(
            math.ceil(needed / permits_const.MAX_WANTED),
            const.ASKED_TARGETS_MAX,
        )
        if count <= 0:
            return []
        due = [
            target
            for target in demand.targets
            if (cold := self._get(target)) is not None
            and now_s >= cold.ask_from_s
        ]
        due.sort(
            key=lambda target: target.failure_domain != self._failure_domain
        )
        return due[:count]

    def _record_ask(
        self,
        target: targets.Target,
        wanted: int,
        now_s: float,
        boot_now_s: float,
    ) -> None:
        run = runs_module.get_run(target)
        cold = self.runs[run]
        if cold.awaited_sequence:
            cold.unanswered_count += 1
            self.outcomes['unanswered'] += 1
        self._sequence += 1
        cold.awaited_sequence = self._sequence
        cold.asked_s = now_s
        cold.ask_from_s = now_s + const.PERMIT_ANSWER_TIMEOUT_S
        if cold.unanswered_count >= const.UNANSWERED_ASKS_LIMIT:
            cold.ask_from_s = now_s + const.SILENT_AGENT_ASK_INTERVAL_S
        self._asks[self._sequence] = permit_types.Ask(
            run=run, wanted=wanted, sent_s=boot_now_s
        )
        self.outcomes['asked'] += wanted

    def apply_grant(
        self, grant: messages.PermitGrant, now_s: float, rng: random.Random
    ) -> bool:
        """Add the permits of a grant, unless it is repeated or late.

        :param grant: a grant for this run of this instance
        :param now_s: the current time in seconds
        :param rng: spreads the next requests of the instances
        :returns: whether there are new permits
        """
        ask = self._asks.pop(grant.sequence, None)
        if ask is None or ask.run[0] != grant.target_id:
            self.outcomes['foreign'] += 1
            return False
        cold = self.runs.get(ask.run)
        if cold is None:
            self.outcomes['expired'] += grant.count
            return False
        cold.unanswered_count = 0
        if cold.awaited_sequence == grant.sequence:
            cold.awaited_sequence = 0
            cold.ask_from_s = cold.asked_s + const.PERMIT_ASK_INTERVAL_S
        count = min(grant.count, ask.wanted)
        self.outcomes['refused'] += ask.wanted - count
        if not count:
            wait_s = rng.uniform(1.0, 1.5) * grant.wait_ms / 1000
            cold.ask_from_s = max(cold.ask_from_s, now_s + wait_s)
            return False
        self.outcomes['granted'] += count
        end_s = ask.sent_s + permits_const.PERMIT_TTL_S
        cold.permit_ends_s += [end_s] * count
        cold.permit_ends_s.sort()
        return self._has_permit(cold, self.clock.now())
