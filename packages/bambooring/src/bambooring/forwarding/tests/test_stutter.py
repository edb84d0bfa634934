"""Draw targets that stutter, and check whose bytes their callers get.

Each arrival of a request at a target is a run; its bytes name the run and
the place in it. What a caller may get is derived from these alone:

- A response that looks complete is one run's whole body or, on a route whose
  streams may be resumed, events of runs that continue one another.
- Of a response that was broken off, the caller has the start of such a body.
- Nothing of a second copy, of another request's answer, or of a head.
"""

import contextlib
import dataclasses
import functools
import os
import re

import hypothesis
from hypothesis import strategies
import pytest

from bambooring.forwarding import const
from bambooring.forwarding.tests import harness as harness_module
from bambooring.forwarding.tests import raw_targets as raw
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state

# STUTTER_EXAMPLES=50000 is the long run by hand; with STUTTER_SEED it draws
# other cases than CI does.
EXAMPLES = int(os.environ.get('STUTTER_EXAMPLES', '300'))
SEED = int(os.environ.get('STUTTER_SEED', '0'))
QUIET_TURNS = 5
PLAIN_PATHS = [b'/read/1', b'/book/1']
STREAM_PATHS = [b'/tell/1', b'/talk/1']
# What a caller may take as proof that its request hasn't run.
PROMISES = (408, 421, 429, 503)
ROUTES = [
    harness_module.make_route(
        'read', policy.RouteKind.IDEMPOTENT, max_attempts=3
    ),
    harness_module.make_route('book', policy.RouteKind.NON_IDEMPOTENT),
    harness_module.make_route('tell', policy.RouteKind.STREAM),
    harness_module.make_route(
        'talk', policy.RouteKind.STREAM, max_attempts=3, is_resumable=True
    ),
]


@dataclasses.dataclass(slots=True, kw_only=True)
class Copy:
    """A second answer on the same connection."""

    attempt_id: bytes = b'7'
    is_same: bool = True
    cut: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """What a target writes at one arrival of a request."""

    status: int = 200
    is_refusal: bool = False
    is_stream: bool = True
    framing: str = 'chunks'
    newline: bytes = b'\n'
    # The first id relative to the one that is due, then the steps.
    steps: tuple[int, ...] = (0, 1, 1)
    filler: int = 0
    # How many bytes of the answer are sent; all if it is None.
    cut: int | None = None
    is_reset: bool = False
    is_early: bool = False
    has_informational: bool = False
    # The answer to another request comes first.
    has_stale: bool = False
    copy: Copy | None = None
    splits: tuple[int, ...] = ()


class Run:
    """One arrival of a request, and what its target writes."""

    def __init__(self, number, answer, due_id):
        self.number = number
        self.answer = answer
        self.events = []
        event_id = due_id
        if answer.is_stream:
            for position, step in enumerate(answer.steps):
                event_id = max(0, event_id + step)
                event = self._make_event(b'r', position, event_id)
                self.events.append((event_id, event))
        else:
            self.events.append((None, self._make_body(b'r')))
        self.body = b''.join(event for _, event in self.events)
        self.whole_answer = self._frame([event for _, event in self.events])
        self.sent = self._compute_sent()

    def _make_event(self, mark, position, event_id):
        lines = [
            b'id: %d' % event_id,
            b'data: <%b%d.%d>' % (mark, self.number, position)
            + b'x' * self.answer.filler,
            b'',
            b'',
        ]
        return self.answer.newline.join(lines)

    def _make_body(self, mark):
        filler = b'x' * self.answer.filler
        return b'<%b%d.0>%b<end>' % (mark, self.number, filler)

    def _frame(self, parts):
        answer = self.answer
        headers = []
        if answer.is_refusal:
            headers.append(b'Not-Run: 1')
        elif answer.is_stream:
            headers.append(b'Stream: 1')
        framed = raw.frame(
            parts, answer.framing, *headers, status=answer.status
        )
        if answer.has_informational:
            return b'HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n' + framed
        return framed

    def _make_copy(self):
        copy = self.answer.copy
        if copy is None:
            return b''
        parts = [event for _, event in self.events]
        if not copy.is_same:
            mark = b'<r%d.' % self.number
            parts = [part.replace(mark, b'<c' + mark[2:]) for part in parts]
        second = self._frame(parts).replace(
            b'Id: 7\r\n', b'Id: %b\r\n' % copy.attempt_id
        )
        return second if copy.cut is None else second[: copy.cut]

    def _compute_sent(self):
        answer = self.answer
        sent = self.whole_answer[: answer.cut]
        # A head that goes on with a copy is none, or the copy's.
        if not self.is_cut or answer.cut >= self.head_size:
            sent += self._make_copy()
        if answer.has_stale:
            stale = raw.frame([b'<stale>\n\n'], 'length', b'Stream: 1')
            sent = stale.replace(b'Id: 7', b'Id: 6') + sent
        return sent

    @property
    def is_cut(self):
        """Whether the answer isn't sent to its end."""
        cut = self.answer.cut
        return cut is not None and cut < len(self.whole_answer)

    @property
    def head_size(self):
        """The size of the head, also of an informational one."""
        body = b'\r\n\r\n'
        end = self.whole_answer.index(body) + len(body)
        if self.answer.has_informational:
            end = self.whole_answer.index(body, end) + len(body)
        return end

    @property
    def is_success(self):
        """Whether the answer is a success, and this request's."""
        return self.answer.status == 200 and not self.answer.has_stale

    @property
    def may_be_whole(self):
        """Whether a caller may take the answer for complete."""
        if not self.is_success:
            return False
        if self.answer.framing != 'none':
            return not self.is_cut or self.is_completed_by_copy
        # Without a length the close is the end, wherever it comes; what an
        # event stream tells besides is checked with its events.
        return not self.answer.is_reset

    @property
    def has_run(self):
        """Whether the request may have run here."""
        if not self.answer.is_refusal or self.answer.has_stale:
            return True
        return not self.sent.count(b'\r\n\r\n') > int(
            self.answer.has_informational
        )

    @property
    def is_completed_by_copy(self):
        """Whether a cut body has its length with the bytes of the copy.

        Nothing tells them apart but a head of the copy that shows plainly.
        """
        if self.answer.framing == 'none' or not self.is_cut:
            return False
        return self._read_sent()[1]

    def _read_sent(self):
        sent = self.sent[self.head_size :]
        if self.answer.framing == 'length':
            size = len(self.body)
            return sent[:size], len(sent) >= size
        body, is_whole, _ = _read_chunks(sent)
        return body, is_whole

    @property
    def sent_content(self):
        """Return all that may be passed on before the answer breaks off."""
        if self.answer.framing == 'none':
            return self.sent_body
        return self._read_sent()[0]

    @property
    def sent_body(self):
        """Return what the framing shows as the body; not for event streams.

        Without a length it is all that follows the head until the close.
        """
        if self.answer.framing == 'none':
            return self.sent[self.head_size :]
        if self.is_completed_by_copy:
            return self._read_sent()[0]
        return self.body

    @property
    def shows_copy(self):
        """Whether a second answer stands plainly in what is sent.

        Its head is whole, names this request, and the body is small enough to
        be searched before any of it is passed on. A head of another request
        may be a quotation.
        """
        copy = self.answer.copy
        return (
            copy is not None
            and (not self.is_cut or b'HTTP/1.' in self.sent_body)
            and copy.attempt_id == b'7'
            and len(self.sent_body) <= const.MAX_BUFFERED_BODY_BYTES
            and (copy.cut is None or copy.cut > 250)
        )

    def get_parts(self):
        """Return the bytes to send one after the other."""
        ends = sorted(
            {
                split % (len(self.sent) + 1)
                for split in [*self.answer.splits, len(self.sent)]
            }
            | {len(self.sent)}
        )
        start = 0
        for end in ends:
            yield self.sent[start:end]
            start = end


class _Target(raw.RawTarget):
    """A target whose answers are drawn, in the order of the arrivals."""

    def __init__(self, answers, runs):
        super().__init__()
        self._answers = answers
        self._runs = runs

    def _get_next(self):
        return self._answers[min(len(self._runs), len(self._answers) - 1)]

    def is_due(self, request):
        """Return whether the body, or at an early answer the head, is here."""
        if self._get_next().is_early:
            return b'\r\n\r\n' in request
        return request.endswith(b'\r\n\r\nhi')

    def make_answer(self, request):
        """Record a run and return what it writes."""
        last_id = int(request.split(b'Last: ')[1].split(b'\r\n')[0])
        run = Run(len(self._runs), self._get_next(), last_id + 1)
        self._runs.append(run)
        return list(run.get_parts()), run.answer.is_reset


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """What a caller read until its connection ended."""

    status: int
    body: bytes
    is_whole: bool


def _read_chunks(data):
    """Return the content of chunks, whether it ended, and what follows.

    What follows is None if the chunks are malformed.
    """
    content = bytearray()
    while b'\r\n' in data:
        size_line, _, rest = data.partition(b'\r\n')
        if not re.fullmatch(b'[0-9a-f]+', size_line):
            return bytes(content), False, None
        size = int(size_line, 16)
        content += rest[:size]
        if len(rest) < size + 2:
            return bytes(content), False, b''
        if rest[size : size + 2] != b'\r\n':
            return bytes(content), False, None
        data = rest[size + 2 :]
        if not size:
            return bytes(content), True, data
    return bytes(content), False, b''


def _parse(data):
    """Return a response; bytes behind it would belong to no request."""
    head, separator, rest = data.partition(b'\r\n\r\n')
    if not separator:
        assert data == b'' or data.startswith(b'HTTP/1.1 '[: len(data)])
        return Response(status=0, body=b'', is_whole=False)
    status_line, *lines = head.split(b'\r\n')
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(b':') for line in lines)
    }
    if headers.get(b'transfer-encoding') == b'chunked':
        body, is_whole, surplus = _read_chunks(rest)
    else:
        length = int(headers[b'content-length'])
        body, surplus = rest[:length], rest[length:]
        is_whole = len(body) == length
    assert surplus == b'', surplus[:200]
    return Response(
        status=int(status_line.split(b' ')[1]), body=body, is_whole=is_whole
    )


def _ask(harness, path, last_id):
    """Return the response to a request on a connection of its own."""
    sock = harness.send_request(path, last_event_id=last_id)
    data = bytearray()
    quiet_turns = 0

    def is_over():
        nonlocal quiet_turns
        # Skips most of the time that a request waits for another target.
        harness.clock.advance(0.01)
        try:
            received = sock.recv(1 << 20)
        except BlockingIOError:
            # Some turns more, in which surplus bytes would come.
            quiet_turns += not harness.forwarder.pending_count
            return quiet_turns > QUIET_TURNS
        except ConnectionResetError:
            return True
        data.extend(received)
        quiet_turns = 0
        return not received

    harness.turn_until(is_over)
    sock.close()
    return _parse(bytes(data))


def play(path, answers, last_id=0):
    """Send a request to targets with these answers and check the response.

    :returns: the response and the runs
    """
    runs: list[Run] = []
    with contextlib.ExitStack() as stack:
        harness = harness_module.Harness(stack)
        harness.forwarder.policy_table = policy_state.PolicyTable(
            dataclasses.replace(harness_module.POLICY, routes=ROUTES)
        )
        raw_targets = [_Target(answers, runs) for _ in range(3)]
        raw.open_targets(harness, stack, raw_targets)
        response = _ask(harness, path, last_id)
        harness_module.advance(harness, 0.3)
    _check(path, response, runs, last_id)
    return response, runs


def _check(path, response, runs, last_id):
    run_count = sum(run.has_run for run in runs)
    if path in (b'/book/1', b'/tell/1'):
        assert run_count <= 1, 'TWICE'
    if response.status in PROMISES:
        assert not run_count or _is_targets_own(path, response, runs), (
            'REFUSED'
        )
    if response.status == 200:
        _check_success(path, response, runs, last_id)
    elif response.status:
        _check_error(response, runs)


def _is_targets_own(path, response, runs):
    """Return whether a status that is a promise is passed on from a target.

    A target's status is passed on as it is, even one that is a promise though
    the target doesn't say that it hasn't run the request. Callers repeat only
    what may be repeated after it, so a booking's must not be passed on.
    """
    if path in (b'/book/1', b'/tell/1'):
        return False
    return any(run.answer.status == response.status for run in runs)


def _check_error(response, runs):
    """Check that a target's error is its own, or that it is the instance's.

    As with a success, the close alone ends an error without a length.
    """
    own_runs = [
        run
        for run in runs
        if run.answer.status == response.status and not run.answer.has_stale
    ]
    if response.is_whole:
        is_own = response.body in {
            run.sent_body
            for run in own_runs
            if (
                not run.is_cut
                or run.answer.framing == 'none'
                or run.is_completed_by_copy
            )
            and not (run.sent_body != run.body and run.shows_copy)
        }
    else:
        is_own = any(
            run.sent_content.startswith(response.body) for run in own_runs
        )
    marks = (b'<r', b'<c', b'<stale')
    assert is_own or not any(mark in response.body for mark in marks), 'MIXED'


def _check_success(path, response, runs, last_id):
    if any(_is_plain_body(path, run, response) for run in runs):
        return
    assert path in STREAM_PATHS, 'MIXED'
    groups = _split_events(response, runs)
    if path == b'/tell/1':
        assert len(groups) <= 1, 'ORDER: runs joined'
    _check_order(groups, last_id)
    if response.is_whole:
        _check_last_run(groups, runs, last_id)


def _is_plain_body(path, run, response):
    """Return whether a body is one run's, byte by byte.

    Of an answer without a length that isn't a stream, all that comes before
    the close is the body, also what is left of a copy of the answer unless
    that shows plainly.
    """
    if not run.is_success:
        return False
    is_stream = run.answer.is_stream and path in STREAM_PATHS
    body = run.body if is_stream else run.sent_body
    if response.is_whole:
        if body != run.body and run.shows_copy:
            return False
        return run.may_be_whole and response.body == body
    return not is_stream and run.sent_content.startswith(response.body)


def _split_events(response, runs):
    """Split a stream into groups of events of one run each.

    Each byte must be of an event of a first answer; an event of a second copy
    or a head is none.
    """
    body = response.body
    groups: list[tuple[Run, list[int]]] = []
    offset = 0
    while offset < len(body):
        found = [
            (run, position)
            for run in runs
            for position, (_, event) in enumerate(run.events)
            if run.is_success
            and run.answer.is_stream
            and body.startswith(event, offset)
        ]
        if not found:
            rest = body[offset:]
            assert not response.is_whole, ('MIXED', rest[:200])
            assert any(
                event.startswith(rest)
                for run in runs
                for _, event in run.events
            ), ('MIXED', rest[:200])
            break
        ((run, position),) = found
        if not groups or groups[-1][0] is not run:
            groups.append((run, []))
        groups[-1][1].append(position)
        offset += len(run.events[position][1])
    return groups


def _check_order(groups, last_id):
    """Check that events come once, in order, and continue one another.

    One run's events may have any ids: they are what the target says, as they
    come. Events of several runs must have increasing ids, and the first of a
    later run must be the next one. Events that the caller has already by
    their ids may be left out.
    """
    numbers = [run.number for run, _ in groups]
    assert numbers == sorted(set(numbers)), 'ORDER: runs interleaved'
    ids = []
    for index, (run, positions) in enumerate(groups):
        expected = 0
        for position in positions:
            assert position >= expected, 'ORDER: event comes twice'
            for skipped_id, _ in run.events[expected:position]:
                assert skipped_id <= last_id, 'ORDER: event is missing'
            event_id = run.events[position][0]
            if index and position == positions[0]:
                assert event_id == last_id + 1, 'ORDER: gap between runs'
            last_id = max(last_id, event_id)
            ids.append(event_id)
            expected = position + 1
    if len(groups) > 1:
        assert ids == sorted(set(ids)), 'ORDER: event comes twice'


def _check_last_run(groups, runs, last_id):
    """Check that the last run ended, and that the caller has its last event.

    An answer without a length that is closed after an event looks complete:
    nothing tells a caller, or an instance, that it was cut there.
    """
    assert runs
    run = runs[-1]
    assert run.may_be_whole, 'ORDER: looks complete'
    delivered = -1
    if groups and groups[-1][0] is run:
        delivered = groups[-1][1][-1]
    for group_run, positions in groups:
        last_id = max(
            last_id, *(group_run.events[position][0] for position in positions)
        )
    sent_count = len(run.events)
    if run.answer.framing == 'none':
        sizes = [len(event) for _, event in run.events]
        sent_size = len(run.sent_body)
        ends = [sum(sizes[:count]) for count in range(len(sizes) + 1)]
        if run.is_cut:
            assert sent_size in ends, 'ORDER: ends inside an event'
            sent_count = ends.index(sent_size)
    for event_id, _ in run.events[delivered + 1 : sent_count]:
        assert event_id <= last_id, 'ORDER: end is missing'


def _is_sound(path, answer):
    """Whether an answer is whole by its framing and this request's own.

    What follows it on the connection can't spoil it.
    """
    is_stream_route = path in STREAM_PATHS
    return (
        answer.status == 200
        and answer.framing != 'none'
        and answer.cut is None
        and not answer.is_reset
        and not answer.is_early
        and not answer.has_stale
        and (
            not is_stream_route
            or answer.is_stream
            and answer.steps[:1] == (0,)
            and set(answer.steps[1:]) <= {1}
        )
        # Larger events are refused.
        and (not answer.is_stream or answer.filler < 60_000)
    )


_cuts = strategies.one_of(
    strategies.integers(0, 400),
    strategies.sampled_from(
        [70_000, 131_000, 131_072, 131_200, 135_000, 139_000, 200_000]
    ),
)
_copies = strategies.builds(
    Copy,
    attempt_id=strategies.sampled_from([b'7', b'6']),
    is_same=strategies.booleans(),
    cut=strategies.none() | _cuts,
)
_mostly_false = strategies.sampled_from([False] * 9 + [True])


@strategies.composite
def _draw_answers(draw, errors=(400, 404, 500)):
    status, is_refusal = draw(
        strategies.sampled_from(
            [(200, False)] * 8
            + [(status, False) for status in errors]
            + [(503, True), (503, True), (421, True)]
        )
    )
    first = draw(strategies.sampled_from([0] * 8 + [-2, -1, 1, 2]))
    more = draw(
        strategies.lists(
            strategies.sampled_from([1] * 8 + [0, -1, 2]), max_size=4
        )
    )
    return Answer(
        status=status,
        is_refusal=is_refusal,
        is_stream=draw(strategies.sampled_from([True] * 5 + [False])),
        framing=draw(strategies.sampled_from(raw.FRAMINGS)),
        newline=draw(strategies.sampled_from([b'\n', b'\n', b'\r\n'])),
        steps=draw(strategies.sampled_from([(first, *more), ()]))
        if not more
        else (first, *more),
        filler=draw(
            strategies.sampled_from(
                [0] * 12 + [3, 100, 40_000, 65_500, 131_050, 140_000]
            )
        ),
        cut=draw(strategies.none() | _cuts),
        is_reset=draw(strategies.booleans()),
        is_early=draw(_mostly_false),
        has_informational=draw(_mostly_false),
        has_stale=draw(_mostly_false),
        copy=draw(strategies.none() | _copies),
        splits=tuple(
            draw(strategies.lists(strategies.integers(0, 1000), max_size=3))
        ),
    )


@strategies.composite
def _draw_case(draw, *, paths, has_streams=True, **kwargs):
    """Draw the kind of request, the answers, and the last event id.

    Answers to a plain request are no streams unless ``has_streams`` is set.
    """
    path = draw(strategies.sampled_from(paths))
    answers = draw(
        strategies.lists(_draw_answers(**kwargs), min_size=1, max_size=3)
    )
    if path in PLAIN_PATHS and not has_streams:
        answers = [
            dataclasses.replace(answer, is_stream=False) for answer in answers
        ]
    return path, answers, draw(strategies.sampled_from([0, 0, 4]))


def _draw(test, **kwargs):
    test = hypothesis.given(_draw_case(**kwargs))(test)
    if SEED:
        test = hypothesis.seed(SEED)(test)
    return hypothesis.settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=not SEED,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )(test)


# Callers got events of several answers mixed, or an answer that wasn't whole.
@functools.partial(_draw, paths=PLAIN_PATHS + STREAM_PATHS, has_streams=False)
def test_callers_get_their_own_answers_whole(case):
    """Whatever targets write, and wherever they stop."""
    _play_drawn(*case)


# Callers got a second answer behind the first: a stream that was the answer to
# a plain request wasn't searched for one.
@functools.partial(_draw, paths=PLAIN_PATHS)
def test_streams_that_answer_plain_requests(case):
    """They are answers like others, which may be repeated until complete."""
    _play_drawn(*case)


def _play_drawn(path, answers, last_id):
    response, runs = play(path, [*answers, Answer()], last_id)
    if _is_sound(path, answers[0]):
        assert (response.status, response.is_whole) == (200, True)
        assert response.body == runs[0].body


# Callers were told that their bookings had not run, though nothing said so.
@functools.partial(
    _draw, paths=PLAIN_PATHS + STREAM_PATHS, errors=PROMISES, has_streams=False
)
def test_callers_are_promised_only_what_is_known(case):
    """Also if targets answer with a status that is a promise to callers."""
    path, answers, last_id = case
    play(path, [*answers, Answer()], last_id)


# A caller got the second answer behind the first, though that is searched for.
@pytest.mark.parametrize('path', [b'/read/1', b'/book/1'])
def test_second_answer_behind_a_stream_to_a_plain_request(path):
    """The first answer is marked as a stream and has no length."""
    for copy in (Copy(), Copy(is_same=False)):
        play(path, [Answer(framing='none', copy=copy), Answer()])


# Callers got the head of a second answer, and its events, as events.
@pytest.mark.parametrize('path', [b'/tell/1', b'/talk/1'])
def test_answer_after_a_stream_without_a_length(path):
    """What isn't the next event is never passed on."""
    copies = [
        Copy(),
        Copy(is_same=False),
        Copy(attempt_id=b'6'),
        Copy(cut=60),
        Copy(cut=90),
    ]
    for copy in copies:
        for is_reset in (False, True):
            answer = Answer(framing='none', is_reset=is_reset, copy=copy)
            play(path, [answer, Answer(steps=())])


def _play_cut(steps, framing):
    """Cut a stream in each byte about its last event; another goes on."""
    size = len(Run(0, Answer(framing=framing, steps=steps), 1).whole_answer)
    for cut in range(size - 25, size):
        answer = Answer(framing=framing, steps=steps, cut=cut)
        play(b'/talk/1', [answer, Answer()])


# A caller got events twice: its stream was resumed after the id to which the
# ids of its first target had run back.
def test_stream_whose_ids_run_back_is_not_resumed_there():
    """The last event that a caller has is the one with the highest id."""
    for framing in raw.FRAMINGS:
        for steps in [(0, -1, 1), (0, 1, -1, 1), (0, 1, 1, -2, 1)]:
            _play_cut(steps, framing)


# A caller got an event with the id of the one before, then those of another
# target.
def test_stream_whose_ids_repeat_is_not_continued():
    """The ids that a caller gets from several targets increase."""
    for framing in raw.FRAMINGS:
        _play_cut((0, 0, 1), framing)


# A caller was told that its booking had not run, though nothing said so.
@pytest.mark.parametrize('path', [b'/book/1', b'/tell/1'])
def test_status_of_a_target_is_no_promise(path):
    """Only a target that says so hasn't run a request."""
    for status in PROMISES:
        for is_stream in (False, True):
            answer = Answer(
                status=status, framing='length', is_stream=is_stream
            )
            play(path, [answer])


# A caller was told so if the target's body was too large to be buffered.
@pytest.mark.parametrize('path', [b'/book/1', b'/tell/1'])
def test_status_before_a_large_body_is_no_promise(path):
    """The size of its body changes nothing."""
    for status in PROMISES:
        for framing in raw.FRAMINGS:
            answer = Answer(
                status=status, framing=framing, is_stream=False, filler=140_000
            )
            play(path, [answer])
