"""Record what callers, targets and operators see, and check it.

Times are seconds of the soak's own monotonic clock.
"""

import collections
import collections.abc
import dataclasses
import threading

# A key that is taken away is good for this long at most.
REVOKE_S = 5.0
# A target that has been told that its leaving is known gets no new request
# after this time.
DRAIN_S = 2.0
# A planned stop is judged where nothing else went wrong for this long.
CALM_S = 3.0
# These statuses promise that the request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """Hold a request as its caller sent it, and how it ended.

    ``status`` is 0 where no whole answer came.
    """

    attempt: str
    kind: str
    entry: str
    key: str
    account: str
    sent_s: float
    body: bytes = b''
    ended_s: float = 0.0
    status: int = 0
    answer: bytes = b''
    signature: str = ''
    is_whole: bool = False
    failure: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """Hold a run at a target: what it was given and what it answers."""

    attempt: str
    target: str
    service: str
    account: str
    body: bytes
    is_key_shown: bool
    at_s: float
    answer: bytes = b''


@dataclasses.dataclass(slots=True, kw_only=True)
class Published:
    """Hold a version that an operator sent, and when it was confirmed."""

    version: int
    content: str
    confirmed_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Read:
    """Hold what an operator read back."""

    version: int
    content: str
    asked_s: float
    replica: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Stop:
    """Hold a planned stop; faults elsewhere make it worth no judgement."""

    entry: str
    began_s: float
    ended_s: float


class Ledger:
    """Collect from many threads; :meth:`check` yields what is broken."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.sent: dict[str, Sent] = {}
        self.runs: list[Run] = []
        self.published: dict[int, Published] = {}
        self.reads: list[Read] = []
        self.revoked_s: dict[str, float] = {}
        self.left_s: dict[str, float] = {}
        self.stops: list[Stop] = []
        self.disturbed: list[tuple[float, float]] = []
        # What went wrong with processes and operators' calls.
        self.failures: list[str] = []

    def add_sent(self, sent: Sent) -> None:
        """Record a request before it is sent."""
        with self._lock:
            self.sent[sent.attempt] = sent

    def add_run(self, run: Run) -> None:
        """Record a run as it begins."""
        with self._lock:
            self.runs.append(run)

    def check(self) -> collections.abc.Iterator[str]:
        """Yield a line for each promise that is broken."""
        with self._lock:
            runs = list(self.runs)
            sent = dict(self.sent)
        by_attempt = collections.defaultdict(list)
        for run in runs:
            by_attempt[run.attempt].append(run)
        for run in runs:
            yield from self._check_run(run, sent.get(run.attempt))
        for one in sent.values():
            yield from _check_request(one, by_attempt[one.attempt])
        yield from self._check_reads()
        yield from self._check_stops(sent.values(), by_attempt)
        yield from self.failures

    def _check_run(
        self, run: Run, sent: Sent | None
    ) -> collections.abc.Iterator[str]:
        if sent is None:
            yield f'run that nobody asked for: {run}'
            return
        if run.is_key_shown:
            yield f'key shown to a target: {run.attempt}'
        if run.account != sent.account:
            yield f'wrong account: {run.attempt} {run.account}'
        if run.body != sent.body:
            yield f'body changed: {run.attempt}'
        if run.service != ('llm' if sent.kind == 'stream' else 'app'):
            yield f'wrong service: {run.attempt} {run.service}'
        revoked_s = self.revoked_s.get(sent.key)
        if revoked_s is not None and sent.sent_s > revoked_s + REVOKE_S:
            yield f'run with a revoked key: {run.attempt}'
        left_s = self.left_s.get(run.target)
        if left_s is not None and run.at_s > left_s + DRAIN_S:
            late_s = run.at_s - left_s
            yield f'run at a leaving target: {run.attempt} {late_s:.2f} s'

    def _check_reads(self) -> collections.abc.Iterator[str]:
        for read in self.reads:
            known = self.published.get(read.version)
            if known is None or known.content != read.content:
                yield f'content nobody published: {read}'
            newest = max(
                (
                    one.version
                    for one in self.published.values()
                    if one.confirmed_s is not None
                    and one.confirmed_s < read.asked_s
                ),
                default=0,
            )
            if read.version < newest:
                yield f'older than what was confirmed ({newest}): {read}'

    def _check_stops(
        self,
        sent: collections.abc.Iterable[Sent],
        by_attempt: collections.abc.Mapping[str, list[Run]],
    ) -> collections.abc.Iterator[str]:
        """Check that a planned stop cuts off no request.

        A request that crosses the close of an idle connection is lost
        without harm, unless it was passed on all the same.
        """
        for stop in self.stops:
            if self._is_disturbed(stop.began_s - CALM_S, stop.ended_s):
                continue
            for one in sent:
                if one.entry != stop.entry or one.sent_s >= stop.ended_s:
                    continue
                if one.is_whole or one.ended_s < stop.began_s:
                    continue
                was_read = one.failure == 'cut' or by_attempt[one.attempt]
                if was_read and one.failure != 'silent':
                    yield f'cut by a planned stop: {one}'

    def _is_disturbed(self, from_s: float, to_s: float) -> bool:
        return any(
            began_s < to_s and ended_s > from_s
            for began_s, ended_s in self.disturbed
        )


def _check_request(
    sent: Sent, runs: list[Run]
) -> collections.abc.Iterator[str]:
    if sent.kind == 'book' and len(runs) > 1:
        yield f'booking ran {len(runs)} times: {sent.attempt}'
    if sent.status in NOT_RUN and runs and sent.kind != 'read':
        yield f'refused with {sent.status}, but ran: {sent.attempt}'
    if sent.status != 200 or not sent.is_whole:
        return
    if sent.kind == 'stream':
        expected = {make_events(sent.attempt)}
    else:
        expected = {run.answer for run in runs}
    if sent.answer not in expected:
        yield f'not the answer to this request: {sent}'
    if sent.signature not in {run.target for run in runs}:
        yield f'signed by no target that ran it: {sent}'


# Events of a stream, numbered from 1.
EVENTS = 8


def make_event(attempt: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: {attempt}/{number}\n\n'.encode()


def make_events(attempt: str) -> bytes:
    """Return a whole stream."""
    numbers = range(1, EVENTS + 1)
    return b''.join(make_event(attempt, number) for number in numbers)
