"""Record what callers, targets and operators observe, and check it.

Times are seconds of the monotonic clock of the soak's own process.
"""

import collections
import collections.abc
import dataclasses
import threading

# A revoked API key is accepted for at most this long.
MAX_REVOCATION_S = 5.0
# A target receives no new request later than this after a control replica
# confirmed that the target is draining.
MAX_DRAIN_DELAY_S = 2.0
# A planned stop is checked only if no other fault was active from this long
# before its start until its end.
UNDISTURBED_S = 3.0
# Statuses that guarantee that the request was not and never will be executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# The kind of requests on routes that operators add, move and drop.
ROUTE_KIND = 'route'


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """A request as its caller sent it, and how it ended.

    ``status`` is 0 until a response head has arrived; ``is_complete`` is set
    after the whole response. ``ended_s`` is 0 while the request runs.
    ``failure`` is empty or one of ``no_connection`` (connecting failed),
    ``silent`` (timed out), ``unread`` (a reused connection was closed without
    a response; the request may never have been read) and ``lost`` (the
    connection failed in any other way). A request on a changing route has its
    ``route`` and the ``process_id`` of the instance.
    """

    attempt_id: str
    kind: str
    entry: str
    api_key: str
    account: str
    sent_s: float
    body: bytes = b''
    ended_s: float = 0.0
    status: int = 0
    response_body: bytes = b''
    signature: str = ''
    is_complete: bool = False
    failure: str = ''
    route: str = ''
    process_id: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Execution:
    """The execution of a request by a target.

    It holds what the target received and the body that it responds with.
    """

    attempt_id: str
    target: str
    service: str
    account: str
    body: bytes
    has_authorization: bool
    started_s: float
    response_body: bytes = b''
    failure_domain: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class PublishedPolicy:
    """A policy version that an operator sent.

    ``confirmed_s`` is None until a control replica has confirmed it.
    ``routes`` are the services of its changing routes, by route.
    """

    version: int
    content: str
    sent_s: float = 0.0
    routes: dict[str, str] = dataclasses.field(default_factory=dict)
    confirmed_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class PolicyRead:
    """A policy that an operator read from a control replica."""

    version: int
    content: str
    requested_s: float
    replica_address: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Evacuation:
    """An evacuation that an operator ordered.

    ``confirmed_s`` is None until a control replica has acknowledged it.
    ``withdrawn_s`` is when its withdrawal was first sent.
    """

    domain: str
    sent_s: float
    confirmed_s: float | None = None
    withdrawn_s: float = float('inf')


@dataclasses.dataclass(slots=True, kw_only=True)
class PlannedStop:
    """A planned stop of a process.

    It is not checked if another fault was active at about the same time.
    """

    entry: str
    started_s: float
    ended_s: float


class History:
    """Collect observations of many threads and check them afterwards."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.requests: dict[str, SentRequest] = {}
        self.executions: list[Execution] = []
        self.published_policies: dict[int, PublishedPolicy] = {}
        self.policy_reads: list[PolicyRead] = []
        # When the policy without the API key was confirmed, by API key.
        self.revoked_s: dict[str, float] = {}
        # When a control replica confirmed the drain, by target id.
        self.drain_confirmed_s: dict[str, float] = {}
        self.planned_stops: list[PlannedStop] = []
        self.evacuations: list[Evacuation] = []
        # The start and the end of the effects of each fault.
        self.disturbed_periods: list[tuple[float, float]] = []
        # Unexpected exits and failed stops of processes, and failed calls of
        # operators.
        self.failures: list[str] = []

    def add_request(self, request: SentRequest) -> None:
        """Record a request before it is sent."""
        with self._lock:
            self.requests[request.attempt_id] = request

    def add_execution(self, execution: Execution) -> None:
        """Record an execution at its start."""
        with self._lock:
            self.executions.append(execution)

    def list_requests(self) -> list[SentRequest]:
        """Return the requests sent so far, while callers may send more."""
        with self._lock:
            return list(self.requests.values())

    def check(self) -> collections.abc.Iterator[str]:
        """Yield a line for each violated guarantee."""
        with self._lock:
            executions = list(self.executions)
            requests = dict(self.requests)
        executions_by_id = collections.defaultdict(list)
        for execution in executions:
            executions_by_id[execution.attempt_id].append(execution)
        for execution in executions:
            yield from self._check_execution(
                execution, requests.get(execution.attempt_id)
            )
        for request in requests.values():
            yield from _check_request(
                request, executions_by_id[request.attempt_id]
            )
        yield from self._check_policy_reads()
        yield from self._check_planned_stops(
            requests.values(), executions_by_id
        )
        yield from self.failures

    def _check_execution(
        self, execution: Execution, request: SentRequest | None
    ) -> collections.abc.Iterator[str]:
        if request is None:
            yield f'executed without a request: {execution}'
            return
        if execution.has_authorization:
            yield f'API key forwarded to a target: {execution.attempt_id}'
        if execution.account != request.account:
            yield f'wrong account: {execution.attempt_id} {execution.account}'
        if execution.body != request.body:
            yield f'body changed: {execution.attempt_id}'
        expected_service = 'llm' if request.kind == 'stream' else 'app'
        if (
            request.kind != ROUTE_KIND
            and execution.service != expected_service
        ):
            yield f'wrong service: {execution.attempt_id} {execution.service}'
        revoked_s = self.revoked_s.get(request.api_key)
        if (
            revoked_s is not None
            and request.sent_s > revoked_s + MAX_REVOCATION_S
        ):
            yield f'executed with a revoked API key: {execution.attempt_id}'
        drain_confirmed_s = self.drain_confirmed_s.get(execution.target)
        if (
            drain_confirmed_s is not None
            and execution.started_s > drain_confirmed_s + MAX_DRAIN_DELAY_S
        ):
            late_s = execution.started_s - drain_confirmed_s
            yield (
                f'executed at a leaving target: {execution.attempt_id},'
                f' {late_s:.2f} s after its drain was confirmed'
            )

    def _check_policy_reads(self) -> collections.abc.Iterator[str]:
        for read in self.policy_reads:
            published_policy = self.published_policies.get(read.version)
            if (
                published_policy is None
                or published_policy.content != read.content
            ):
                yield f'policy content that was never published: {read}'
            newest_confirmed = max(
                (
                    policy.version
                    for policy in self.published_policies.values()
                    if policy.confirmed_s is not None
                    and policy.confirmed_s < read.requested_s
                ),
                default=0,
            )
            if read.version < newest_confirmed:
                yield (
                    f'older than the confirmed version {newest_confirmed}:'
                    f' {read}'
                )

    def _check_planned_stops(
        self,
        requests: collections.abc.Iterable[SentRequest],
        executions_by_id: collections.abc.Mapping[str, list[Execution]],
    ) -> collections.abc.Iterator[str]:
        """Check that a planned stop interrupts no request.

        A request may be lost if it is sent while the entry instance closes
        the idle connection, but not if it was forwarded to a target.
        """
        for stop in self.planned_stops:
            if self.is_disturbed(stop.started_s - UNDISTURBED_S, stop.ended_s):
                continue
            for request in requests:
                if (
                    request.entry != stop.entry
                    or request.sent_s >= stop.ended_s
                ):
                    continue
                if request.is_complete or request.ended_s < stop.started_s:
                    continue
                was_received = (
                    request.failure == 'lost'
                    or executions_by_id[request.attempt_id]
                )
                if was_received and request.failure != 'silent':
                    yield f'interrupted by a planned stop: {request}'

    def is_disturbed(self, from_s: float, to_s: float) -> bool:
        return any(
            started_s < to_s and ended_s > from_s
            for started_s, ended_s in self.disturbed_periods
        )


def _check_request(
    request: SentRequest, executions: list[Execution]
) -> collections.abc.Iterator[str]:
    if request.kind == 'book' and len(executions) > 1:
        yield f'booking executed {len(executions)} times: {request.attempt_id}'
    if (
        request.status in NOT_EXECUTED_STATUSES
        and executions
        and request.kind not in ('read', ROUTE_KIND)
    ):
        yield (
            f'refused with {request.status}, but executed:'
            f' {request.attempt_id}'
        )
    if request.status != 200 or not request.is_complete:
        return
    if request.kind == ROUTE_KIND and request.signature in {
        execution.target
        for execution in executions
        if execution.service == 'llm'
    }:
        expected = {make_stream(request.attempt_id)}
    elif request.kind == 'stream':
        expected = {make_stream(request.attempt_id)}
    else:
        expected = {execution.response_body for execution in executions}
    if request.response_body not in expected:
        yield f'not the response to this request: {request}'
    if request.signature not in {execution.target for execution in executions}:
        yield f'signed by no target that executed it: {request}'


# The number of events in a stream; they are numbered from 1.
EVENT_COUNT = 8


def make_event(attempt_id: str, number: int) -> bytes:
    """Return one server-sent event of the stream of a request."""
    return f'id: {number}\ndata: {attempt_id}/{number}\n\n'.encode()


def make_stream(attempt_id: str) -> bytes:
    """Return all events of the stream of a request."""
    numbers = range(1, EVENT_COUNT + 1)
    return b''.join(make_event(attempt_id, number) for number in numbers)
