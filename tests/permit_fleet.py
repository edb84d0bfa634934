"""Run entry instances against the permit ledgers of cold targets in one loop.

Each instance knows only its own load, as if it were cut off from all others.
"""

import collections
import functools
import heapq
import itertools
import random

from bambooring.balancing import messages as balancing_messages
from bambooring.balancing import permits
from bambooring.balancing import state as balancing
from bambooring.policy import messages as policy
from bambooring.targets import messages as targets
from bambooring_agent.permits import state as ledger_module
from bambooring_core import clock as clock_module
from bambooring_core.permits import const as permits_const

SERVICE = policy.Service(
    name='llm', max_connections=0, slots=5, cold_requests_per_s=23.0
)
LIMIT = permits.compute_limit(SERVICE, 1.5, 5)
POLL_INTERVAL_S = 0.02
RUN_TIME_S = 0.1
QUEUE_MAX = 12


def make_target(index, domain='a', **changes):
    """Return a cold target of a failure domain."""
    values = {
        'id': f't{index}',
        'service': 'llm',
        'address': f'10.0.0.{index}:80',
        'failure_domain': domain,
        'slots': 5,
        'state': targets.State.READY,
        'born_ms': 1,
        'sequence': 1,
        'cold_ms': 60_000,
    } | changes
    return targets.Target(**values)


class Fleet:
    """Entry instances, agents and the network between them.

    ``arrivals`` are the times at which requests reach each target,
    ``warm_arrivals`` those of the requests that were sent without a permit.
    """

    def __init__(self, *, seed, entry_count, target_list, rate_per_s):
        self.rng = random.Random(seed)
        self.clock = clock_module.ManualClock(1000.0)
        self.rate_per_s = rate_per_s
        self.targets = target_list
        self.arrivals = collections.defaultdict(list)
        self.warm_arrivals = collections.defaultdict(list)
        self.ledgers = {}
        self.loss = 0.0
        self.late_share = 0.0
        # Whether a datagram or request between two domains is lost.
        self.is_cut = lambda one, other: False
        self._events = []
        self._sequence = itertools.count()
        for target in target_list:
            self.restart_agent(target.id)
        self.entries = [_Entry(self, i) for i in range(entry_count)]

    def restart_agent(self, target_id):
        """Replace an agent by one that remembers nothing."""
        self.ledgers[target_id] = ledger_module.PermitLedger(self.clock.now())

    def at(self, delay_s, callback):
        """Call a function after a delay."""
        due_s = self.clock.now() + delay_s
        heapq.heappush(self._events, (due_s, next(self._sequence), callback))

    def run(self, duration_s):
        """Run all events until a time has passed."""
        end_s = self.clock.now() + duration_s
        while self._events and self._events[0][0] <= end_s:
            due_s, _, callback = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due_s - self.clock.now()))
            callback()

    def deliver(self, source, destination, callback):
        """Deliver a datagram late, twice, out of order or not at all."""
        if self.is_cut(source, destination):
            return
        for _ in range(2 if self.rng.random() < self.late_share else 1):
            if self.rng.random() >= self.loss:
                is_late = self.rng.random() < self.late_share
                latest_s = 0.6 if is_late else 0.003
                self.at(self.rng.uniform(0.0005, latest_s), callback)


def find_highest_count(arrivals):
    """Return the most requests that arrived within any one second."""
    window, highest = collections.deque(), 0
    for arrived_s in sorted(arrivals):
        window.append(arrived_s)
        while window[0] < arrived_s - permits_const.LIMIT_WINDOW_S:
            window.popleft()
        highest = max(highest, len(window))
    return highest


class _Entry:
    """An entry instance with a queue of equal requests."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index
        self.domain = 'abc'[index % 3]
        self.frozen_until_s = 0.0
        self.incarnation = 5
        self.start()
        fleet.at(fleet.rng.uniform(0, POLL_INTERVAL_S), self._poll)
        self._schedule_caller()

    def start(self):
        """Begin a run that knows nothing of the earlier one."""
        self.queued = 0
        self.balancer = balancing.Balancer(
            self.domain,
            random.Random(self.index),
            boot_clock=self.fleet.clock,
        )
        self.cold = self.balancer.cold
        self.cold.set_limits({'llm': LIMIT})
        self.cold.on_demand = functools.partial(
            self.fleet.at, 0.0, self._send_requests
        )
        for target in self.fleet.targets:
            self.cold.record_announcement(target, self.fleet.clock.now())
        self.balancer.set_targets(self.fleet.targets)

    def _resume(self, callback):
        """Call a function now, or once the machine is resumed."""
        wait_s = self.frozen_until_s - self.fleet.clock.now()
        if wait_s > 0:
            self.fleet.at(wait_s, lambda: self._resume(callback))
        else:
            callback()

    def _schedule_caller(self):
        delay_s = self.fleet.rng.expovariate(self.fleet.rate_per_s)
        self.fleet.at(delay_s, self._handle_caller)

    def _handle_caller(self):
        self._schedule_caller()
        self.queued = min(self.queued + 1, QUEUE_MAX)
        self._resume(self._dispatch)

    def _poll(self):
        self.fleet.at(POLL_INTERVAL_S, self._poll)
        if self.queued:
            self._resume(self._dispatch)

    def _dispatch(self):
        while self.queued:
            choice = self.balancer.choose(
                balancing_messages.TargetQuery(service='llm'),
                self.fleet.clock.now(),
            )
            if choice is None:
                return
            self.queued -= 1
            self._send(choice.target)

    def _send(self, target):
        permit = self.cold.take_permit(target)
        balancer = self.balancer
        balancer.add_request(target.id, 1)

        def write():
            if permit is None or permit.is_valid():
                transit_s = self.fleet.rng.choice((0.0005, 0.0014, 0.099))
                self.fleet.at(transit_s, arrive)
            self.fleet.at(RUN_TIME_S, end)

        def arrive():
            if not self.fleet.is_cut(self.domain, target.failure_domain):
                now_s = self.fleet.clock.now()
                self.fleet.arrivals[target.id].append(now_s)
                if permit is None:
                    self.fleet.warm_arrivals[target.id].append(now_s)

        def end():
            balancer.remove_request(target.id, 1)

        # A lost packet is sent again after 0.2 s.
        is_late = self.fleet.rng.random() < self.fleet.late_share
        connect_s = self.fleet.rng.uniform(0.0005, 0.3 if is_late else 0.003)
        self.fleet.at(connect_s, lambda: self._resume(write))

    def _send_requests(self):
        requests = self.cold.make_requests(
            sender=f'10.1.0.{self.index}:7002',
            incarnation=self.incarnation,
            queued={'llm': self.queued},
            now_s=self.fleet.clock.now(),
        )
        for target, request in requests:
            self.fleet.deliver(
                self.domain,
                target.failure_domain,
                functools.partial(self._ask_agent, target, request),
            )

    def _ask_agent(self, target, request):
        ledger = self.fleet.ledgers[target.id]
        grant = ledger.handle(request, self.fleet.clock.now())
        if grant is not None:
            self.fleet.deliver(
                target.failure_domain,
                self.domain,
                lambda: self._resume(lambda: self._apply(grant)),
            )

    def _apply(self, grant):
        now_s = self.fleet.clock.now()
        if self.incarnation == grant.incarnation and self.cold.apply_grant(
            grant, now_s, self.fleet.rng
        ):
            self._dispatch()
