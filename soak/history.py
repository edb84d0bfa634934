"""Record what callers, targets and operators see, and check it.

Times are seconds of the soak's own monotonic clock.
"""

import collections
import collections.abc
import dataclasses
import threading

# A key that is taken away is good for this long at most.
MAX_REVOCATION_S = 5.0
# A target that has been told that its leaving is known gets no new request
# after this time.
MAX_DRAIN_DELAY_S = 2.0
# A planned stop is judged where nothing else went wrong for this long.
UNDISTURBED_S = 3.0
# These statuses promise that the request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """Hold a request as its caller sent it, and how it ended.

    ``status`` is 0 where no whole answer came.
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


@dataclasses.dataclass(slots=True, kw_only=True)
class Execution:
    """Hold a run at a target: what it was given and what it answers."""

    attempt_id: str
    target: str
    service: str
    account: str
    body: bytes
    has_authorization: bool
    started_s: float
    response_body: bytes = b''


@dataclasses.dataclass(slots=True, kw_only=True)
class PublishedPolicy:
    """Hold a version that an operator sent, and when it was confirmed."""

    version: int
    content: str
    confirmed_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class PolicyRead:
    """Hold what an operator read back."""

    version: int
    content: str
    requested_s: float
    replica_address: str


@dataclasses.dataclass(slots=True, kw_only=True)
class PlannedStop:
    """Hold a planned stop; faults elsewhere make it worth no judgement."""

    entry: str
    started_s: float
    ended_s: float


class History:
    """Collect from many threads; :meth:`check` yields what is broken."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.requests: dict[str, SentRequest] = {}
        self.executions: list[Execution] = []
        self.published_policies: dict[int, PublishedPolicy] = {}
        self.policy_reads: list[PolicyRead] = []
        self.revoked_s: dict[str, float] = {}
        self.drain_confirmed_s: dict[str, float] = {}
        self.planned_stops: list[PlannedStop] = []
        self.disturbed_periods: list[tuple[float, float]] = []
        # What went wrong with processes and operators' calls.
        self.failures: list[str] = []

    def add_request(self, request: SentRequest) -> None:
        """Record a request before it is sent."""
        with self._lock:
            self.requests[request.attempt_id] = request

    def add_execution(self, execution: Execution) -> None:
        """Record a run as it begins."""
        with self._lock:
            self.executions.append(execution)

    def check(self) -> collections.abc.Iterator[str]:
        """Yield a line for each promise that is broken."""
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
            yield f'run that nobody asked for: {execution}'
            return
        if execution.has_authorization:
            yield f'key shown to a target: {execution.attempt_id}'
        if execution.account != request.account:
            yield f'wrong account: {execution.attempt_id} {execution.account}'
        if execution.body != request.body:
            yield f'body changed: {execution.attempt_id}'
        if execution.service != ('llm' if request.kind == 'stream' else 'app'):
            yield f'wrong service: {execution.attempt_id} {execution.service}'
        revoked_s = self.revoked_s.get(request.api_key)
        if (
            revoked_s is not None
            and request.sent_s > revoked_s + MAX_REVOCATION_S
        ):
            yield f'run with a revoked key: {execution.attempt_id}'
        drain_confirmed_s = self.drain_confirmed_s.get(execution.target)
        if (
            drain_confirmed_s is not None
            and execution.started_s > drain_confirmed_s + MAX_DRAIN_DELAY_S
        ):
            late_s = execution.started_s - drain_confirmed_s
            yield (
                f'run at a leaving target: {execution.attempt_id}'
                f' {late_s:.2f} s'
            )

    def _check_policy_reads(self) -> collections.abc.Iterator[str]:
        for read in self.policy_reads:
            published_policy = self.published_policies.get(read.version)
            if (
                published_policy is None
                or published_policy.content != read.content
            ):
                yield f'content nobody published: {read}'
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
                    f'older than what was confirmed ({newest_confirmed}):'
                    f' {read}'
                )

    def _check_planned_stops(
        self,
        requests: collections.abc.Iterable[SentRequest],
        executions_by_id: collections.abc.Mapping[str, list[Execution]],
    ) -> collections.abc.Iterator[str]:
        """Check that a planned stop cuts off no request.

        A request that crosses the close of an idle connection is lost
        without harm, unless it was passed on all the same.
        """
        for stop in self.planned_stops:
            if self._is_disturbed(
                stop.started_s - UNDISTURBED_S, stop.ended_s
            ):
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
                    request.failure == 'cut'
                    or executions_by_id[request.attempt_id]
                )
                if was_received and request.failure != 'silent':
                    yield f'cut by a planned stop: {request}'

    def _is_disturbed(self, from_s: float, to_s: float) -> bool:
        return any(
            started_s < to_s and ended_s > from_s
            for started_s, ended_s in self.disturbed_periods
        )


def _check_request(
    request: SentRequest, executions: list[Execution]
) -> collections.abc.Iterator[str]:
    if request.kind == 'book' and len(executions) > 1:
        yield f'booking ran {len(executions)} times: {request.attempt_id}'
    if (
        request.status in NOT_EXECUTED_STATUSES
        and executions
        and request.kind != 'read'
    ):
        yield f'refused with {request.status}, but ran: {request.attempt_id}'
    if request.status != 200 or not request.is_complete:
        return
    if request.kind == 'stream':
        expected = {make_stream(request.attempt_id)}
    else:
        expected = {execution.response_body for execution in executions}
    if request.response_body not in expected:
        yield f'not the answer to this request: {request}'
    if request.signature not in {execution.target for execution in executions}:
        yield f'signed by no target that ran it: {request}'


# Events of a stream, numbered from 1.
EVENT_COUNT = 8


def make_event(attempt_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: {attempt_id}/{number}\n\n'.encode()


def make_stream(attempt_id: str) -> bytes:
    """Return a whole stream."""
    numbers = range(1, EVENT_COUNT + 1)
    return b''.join(make_event(attempt_id, number) for number in numbers)
