"""Play callers against dispatchers and targets, without any network.

The dispatchers, balancers and their messages are the real ones. A target runs
as many requests as it has slots, each for a fixed time, and takes more urgent
ones first from its own queue.
"""

import heapq
import itertools
import random
import types
import typing

from bambooring.balancing import const as balancing_const
from bambooring.balancing import state as balancing
from bambooring.crashes import state as crashes
from bambooring.forwarding import arrivals
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import dispatcher as dispatcher_module
from bambooring.forwarding import messages
from bambooring.forwarding import ordering
from bambooring.loads import const as loads_const
from bambooring.loads import messages as loads
from bambooring.loads import summaries
from bambooring.policy import messages as policy
from bambooring.policy import urgency
from bambooring.routing import budget
from bambooring.targets import messages as targets

SERVICE = 'llm'
OBJECTIVE_S = 0.407
TIME_S = 8.1
READ_S = 0.1
REFUSAL_S = 0.005
# Within a failure domain each change is reported; sums go to the others.
NEAR_DELAY_S = 0.0015
FAR_DELAY_S = 0.06
SLOTS = 5
CLEAR = types.SimpleNamespace(
    is_forbidden=False, status=crashes.Status.CLEAR, wait_s=0.0
)


def make_route(priority, name=''):
    """Return a route of streams."""
    return policy.Route(
        name=name or f'p{priority}',
        host='h',
        path_prefix=f'/{name or priority}/',
        kind=policy.RouteKind.STREAM,
        services=[policy.WeightedService(service=SERVICE, weight=1)],
        timeout_s=TIME_S,
        first_byte_objective_s=OBJECTIVE_S * (2 if priority == 2 else 1),
        priority=priority,
        max_attempts=2,
        is_anonymous=False,
        is_resumable=True,
        max_event_gap_s=0.12,
    )


class Clock:
    """Time and timers in the place of a reactor."""

    def __init__(self):
        self.now_s = 0.0
        self._due_calls: list[tuple] = []
        self._numbers = itertools.count()

    def now(self):
        """Return the time in seconds."""
        return self.now_s

    def call_later(self, delay_s, callback):
        """Call something after a delay."""
        due_s = self.now_s + max(0.0, delay_s)
        heapq.heappush(self._due_calls, (due_s, next(self._numbers), callback))

    def call_every(self, interval_s, callback):
        """Call something again and again."""
        callback()
        self.call_later(
            interval_s, lambda: self.call_every(interval_s, callback)
        )

    def run_until(self, end_s):
        """Call all that is due until a time."""
        while self._due_calls and self._due_calls[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._due_calls)
            callback()
        self.now_s = end_s


class Target:
    """A target that runs as many requests as it has slots."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._running = 0
        self._queue = []

    def take(self, request):
        """Run a request, or queue it by its urgency."""
        if self._fleet.is_standing:
            self._fleet.clock.call_later(REFUSAL_S, request.refuse)
            return
        self._queue.append(request)
        self._queue.sort(key=lambda item: item.get_header_urgency())
        self._start_next()

    def _start_next(self):
        while self._queue and self._running < SLOTS:
            self._running += 1
            self._run(self._queue.pop(0))

    def _run(self, request):
        clock = self._fleet.clock
        clock.call_later(READ_S, lambda: request.record_first_byte())
        clock.call_later(self._fleet.duration_s, lambda: self._end(request))

    def _end(self, request):
        self._running -= 1
        request.end()
        self._start_next()


class Caller:
    """One caller's request over all its attempts."""

    def __init__(self, kind, route, account, tokens, arrived_s):
        self.kind = kind
        self.route = route
        self.account = account
        self.tokens = tokens
        self.arrived_s = arrived_s
        self.refusals = 0
        self.returned_s = -1.0
        self.first_byte_s = None

    @property
    def is_on_time(self):
        """Return whether the first byte came within the objective."""
        return self.first_byte_s is not None and (
            self.first_byte_s - self.arrived_s
            <= self.route.first_byte_objective_s
        )


class Request:
    """One attempt of a caller at one instance, as dispatchers use it."""

    def __init__(self, fleet, instance, caller):
        now_s = fleet.clock.now()
        self._fleet = fleet
        self._instance = instance
        self.caller = caller
        self.service = SERVICE
        self.route = caller.route
        self.received_s = self.admitted_s = now_s
        self.deadline_s = caller.arrived_s + TIME_S
        self.queue_deadline_s = self.deadline_s
        self.max_wait_s = 1.6
        self.allowed_domains = None
        self.objective_s = self.route.first_byte_objective_s
        self.progress = decisions.Progress()
        self.tried_targets = set()
        self.suspicion = types.SimpleNamespace(decide=lambda: CLEAR)
        self.should_retry_later = not caller.refusals
        self.request = messages.CallerRequest(
            attempt_id='1',
            method='POST',
            request_target='/',
            host='h',
            path='/',
            api_key=None,
            time_left_s=self.deadline_s - now_s,
            last_event_id=None,
            prompt_tokens=caller.tokens,
            prompt_parts=(),
            headers=[],
            body=b'',
        )
        traits = instance.arrivals.classify(
            self.route.name, caller.tokens, self.request.time_left_s
        )
        self.first_received_s = now_s - traits.elapsed_s
        self.standing = None
        class_ = fleet.urgencies.find(SERVICE, self.route, caller.account)
        if class_ is not None:
            self.standing = ordering.make_standing(
                urgency=class_,
                request=self.request,
                route=self.route,
                account=caller.account,
                traits=traits,
                first_received_s=self.first_received_s,
                deadline_s=self.deadline_s,
            )

    def get_header_urgency(self):
        """Return what the target is told."""
        return self.standing.urgency if self.standing else 5

    def get_queue_key(self, now_s):
        """Return the sort key in the queue."""
        if self.standing is None:
            return decisions.compute_queue_key(
                self.route,
                None,
                received_s=self.received_s,
                is_response_started=False,
                now_s=now_s,
            )
        return self._instance.dispatcher.order.compute_key(
            self.standing, self, now_s
        )

    def get_time_left_s(self):
        """Return the time until the deadline."""
        return self.deadline_s - self._fleet.clock.now()

    def send_to_target(self, choice):
        """Send the request to a target."""
        self._target_id = choice.target.id
        self.progress.attempt_count += 1
        self._instance.balancer.add_request(self._target_id, 0)
        self._fleet.schedule_report(self._instance)
        self._fleet.targets[self._target_id].take(self)

    def record_first_byte(self):
        """Record that the target began to answer."""
        self.caller.first_byte_s = self._fleet.clock.now()
        balancer = self._instance.balancer
        balancer.record_response_started(SERVICE)
        balancer.record_event_gap(SERVICE, self._fleet.gap_s, 0.12)

    def end(self):
        """End the request at its target."""
        balancer = self._instance.balancer
        balancer.record_success(
            self._target_id, SERVICE, self._fleet.duration_s
        )
        balancer.remove_request(self._target_id, 0)
        order = self._instance.dispatcher.order
        order.record_release(SERVICE, self._fleet.clock.now())
        self._fleet.schedule_report(
            self._instance,
            loads_const.LOAD_REPORT_MIN_INTERVAL_S
            if order.is_contended(SERVICE)
            else loads_const.FREED_SLOT_REPORT_DELAY_S,
        )
        self._instance.dispatcher.dispatch_queued()

    def refuse(self):
        """Try again after a target has refused the request."""
        balancer = self._instance.balancer
        balancer.remove_request(self._target_id, 0)
        balancer.record_refusal(
            self._target_id, SERVICE, self._fleet.clock.now()
        )
        self.progress.refused_count += 1
        if self.progress.refused_count > const.MAX_REFUSED_ATTEMPTS:
            self.give_up(const.Reason.TARGET_REFUSED)
        else:
            self._instance.dispatcher.dispatch_or_queue(self)

    def give_up(self, reason):
        """Refuse the request; the caller comes back once."""
        dispatcher = self._instance.dispatcher
        dispatcher.remove_from_queue(self)
        dispatcher.order.record_refusal(self, self._fleet.clock.now())
        wait_s = dispatcher.get_retry_after_s(self)
        caller = self.caller
        caller.refusals += 1
        self._fleet.held_s.append(self._fleet.clock.now() - self.received_s)
        self._fleet.retry_waits_s.append((wait_s, self.get_time_left_s()))
        if caller.refusals == 1 and wait_s <= self.get_time_left_s() / 3:
            self._fleet.clock.call_later(
                wait_s, lambda: self._fleet.send(caller)
            )


class Fleet:
    """Entry instances with targets, and the callers that they serve."""

    def __init__(
        self,
        *,
        routes,
        accounts=(),
        instance_count=8,
        target_count=12,
        domain_count=2,
        duration_s=1.0,
        gap_s=0.05,
        seed=1,
    ):
        self.rng = random.Random(seed)
        self.clock: typing.Any = Clock()
        self._domain_count = domain_count
        self.duration_s = duration_s
        self.gap_s = gap_s
        self.urgencies = urgency.UrgencyTable(
            policy.Policy(
                version=1,
                routes=list(routes),
                services=[],
                accounts=list(accounts),
                limits=policy.CallerLimits(
                    max_header_bytes=1,
                    max_body_bytes=1,
                    header_timeout_s=1,
                    idle_timeout_s=1,
                ),
            )
        )
        self.targets = {
            str(number): Target(self) for number in range(target_count)
        }
        self.capacity_per_s = SLOTS * target_count / duration_s
        self.callers = []
        self.is_standing = False
        self.held_s = []
        self.retry_waits_s = []
        self.instances = [
            self._make_instance(number) for number in range(instance_count)
        ]
        self.set_group(epoch=1, is_open=True)
        for instance in self.instances:
            self._start_timers(instance)

    def _start_timers(self, instance):
        """Report load and adjust limits now and then, not all at once."""

        def start():
            self.clock.call_every(
                loads_const.LOAD_REPORT_MAX_INTERVAL_S,
                lambda: self.schedule_report(instance),
            )
            self.clock.call_every(
                balancing_const.LIMIT_ADJUST_INTERVAL_S,
                instance.balancer.adjust_limits,
            )

        self.clock.call_later(self.rng.random() * 0.25, start)

    def _make_instance(self, number):
        balancer = balancing.Balancer(
            str(number % self._domain_count), random.Random(number)
        )
        instance = types.SimpleNamespace(
            name=str(number),
            domain=number % self._domain_count,
            balancer=balancer,
            reported_s=-1.0,
            report_due_s=float('inf'),
            arrivals=arrivals.ArrivalTracker(),
            dispatcher=dispatcher_module.Dispatcher(
                reactor=self.clock,
                balancer=balancer,
                budget=budget.RetryBudget(0.1, initial_tokens=9, capacity=9),
                rng=random.Random(number),
                report_load=lambda: self.schedule_report(instance),
            ),
        )
        return instance

    def set_group(self, *, epoch, is_open):
        """Announce the targets with the state of their group.

        While it is broken, targets refuse what they get.
        """
        self.is_standing = not is_open
        for instance in self.instances:
            instance.balancer.set_targets(
                targets.Target(
                    id=name,
                    service=SERVICE,
                    address='127.0.0.1:1',
                    failure_domain=str(int(name) % self._domain_count),
                    slots=SLOTS,
                    state=targets.State.READY,
                    born_ms=1,
                    sequence=epoch,
                    group='g',
                    group_epoch=epoch,
                    rank=int(name),
                    is_group_open=is_open,
                )
                for name in self.targets
            )
            instance.dispatcher.dispatch_queued()

    def schedule_report(self, instance, delay_s=0.0):
        """Tell the others of an instance's load, not more often than it may.

        :param instance: the instance
        :param delay_s: how long the report may wait for further changes
        """
        due_s = max(
            self.clock.now() + delay_s,
            instance.reported_s + loads_const.LOAD_REPORT_MIN_INTERVAL_S,
        )
        if due_s < instance.report_due_s:
            instance.report_due_s = due_s
            self.clock.call_later(
                due_s - self.clock.now(), lambda: self._report(instance, due_s)
            )

    def _report(self, instance, due_s):
        if instance.report_due_s != due_s:
            return
        instance.report_due_s = float('inf')
        instance.reported_s = self.clock.now()
        report = instance.balancer.make_load_report(
            instance.name,
            1,
            instance.dispatcher.count_queued(),
            instance.dispatcher.count_queued_by_urgency(),
        )
        for domain in range(self._domain_count):
            self.clock.call_later(
                NEAR_DELAY_S if domain == instance.domain else FAR_DELAY_S,
                lambda domain=domain: self._deliver(report, domain),
            )

    def _deliver(self, report, domain):
        domain_of_sender = int(report.sender) % self._domain_count
        for other in self.instances[domain :: self._domain_count]:
            if other.name != report.sender:
                if other.domain == domain_of_sender:
                    other.balancer.loads.add_report(report, self.clock.now())
                else:
                    other.balancer.loads.add_summary(
                        summarize_report(report), self.clock.now()
                    )
                if other.dispatcher.count_queued():
                    other.dispatcher.dispatch_queued()

    def add_load(
        self, kind, route, per_s, start_s, end_s, *, account=None, tokens=None
    ):
        """Let callers of a kind arrive at random from a time to another."""
        now_s = start_s
        while (now_s := now_s + self.rng.expovariate(per_s)) < end_s:
            size = tokens or round(self.rng.lognormvariate(6, 1))
            caller = Caller(kind, route, account, size, now_s)
            self.callers.append(caller)
            self.clock.call_later(now_s, lambda item=caller: self.send(item))

    def send(self, caller):
        """Send an attempt of a caller to a random instance."""
        if caller.refusals:
            caller.returned_s = self.clock.now()
        instance = self.rng.choice(self.instances)
        instance.dispatcher.dispatch_or_queue(Request(self, instance, caller))

    def summarize(self, start_s=0.0, end_s=float('inf')):
        """Return by kind the shares that were served and served on time."""
        by_kind: dict[str, list[Caller]] = {}
        for caller in self.callers:
            if start_s <= caller.arrived_s < end_s:
                by_kind.setdefault(caller.kind, []).append(caller)
        return {
            kind: types.SimpleNamespace(
                served=_mean(item.first_byte_s is not None for item in items),
                on_time=_mean(item.is_on_time for item in items),
                refused=_mean(item.refusals > 0 for item in items),
            )
            for kind, items in by_kind.items()
        }


def summarize_report(report):
    """Return a report as if its sender were alone in its failure domain."""
    return loads.DomainLoad(
        failure_domain=report.sender,
        sender=report.sender,
        incarnation=1,
        sequence=report.sequence,
        is_full=True,
        age_ms=0,
        target_keys=[
            summaries.compute_target_key(entry.target)
            for entry in report.targets
        ],
        running=[entry.running for entry in report.targets],
        tokens=[entry.tokens for entry in report.targets],
        services=[
            loads.ServiceTotal(
                service=entry.service,
                waiting=entry.waiting,
                gap_ms=entry.gap_ms,
                gap_instances=1 if entry.gap_ms else 0,
                waiting_by_urgency=entry.waiting_by_urgency,
            )
            for entry in report.services
        ],
    )


def _mean(flags):
    flags = list(flags)
    return sum(flags) / len(flags)
