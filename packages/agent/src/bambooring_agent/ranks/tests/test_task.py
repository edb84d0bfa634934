"""Test the agent of a rank with engines on loopback sockets."""

import contextlib
import dataclasses
import typing
from unittest import mock

import pytest

from bambooring_agent.ranks import messages as agent_messages
from bambooring_agent.ranks import task
from bambooring_core import errors
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as server_module
from bambooring_core.ranks import messages
from bambooring_core import reactor as reactor_module

LIMITS = http1.Limits(
    max_header_bytes=4096,
    max_body_bytes=10_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
MAX_ITERATIONS = 2000
ORDER = messages.RankOrder(
    order=7, kind=messages.OrderKind.RELEASE, epoch=1, step=12
)


class _Engine:
    """Record the calls to an engine and answer them with one status."""

    def __init__(self, reactor, status):
        self.paths = []
        self.status = status
        self.server = server_module.Server(
            reactor=reactor,
            address='127.0.0.1:0',
            limits=LIMITS,
            handle=self._handle,
            count_refused=lambda reason: None,
        )

    @property
    def address(self):
        """Return the address at which the engine is called."""
        return f'127.0.0.1:{self.server.port}'

    def _handle(self, exchange):
        self.paths.append(exchange.request.target)
        exchange.respond(self.status, [], b'state')


class _Dialect:
    """Name the calls by their paths and know one state."""

    def make_state_call(self):
        """Return a call that reads the state."""
        return _make_call('/state')

    def make_order_call(self, order, target_id=''):
        """Return a call that names the order and the expected target."""
        return _make_call(f'/order/{order.kind}/{order.step}/{target_id}')

    def read_state(self, target, service, body):
        """Return the state of rank 0."""
        return messages.RankState(
            target=target,
            service=service,
            group='g',
            epoch=1,
            rank=0,
            size=2,
            is_open=True,
            step=11,
            version=0,
            prepared=0,
            armed=0,
            held=messages.NOT_HELD,
        )


class _Link:
    """Record the messages that are sent over a link."""

    name = 'control-1'

    def __init__(self):
        self.sent = []

    def send(self, message):
        """Record a message."""
        self.sent.append(message)


def _make_call(path):
    return messages.RankCall(
        method='GET', path=path, headers=[(b'Host', b'engine')], body=b''
    )


def _make_agent(reactor, engine_address):
    dialect: typing.Any = _Dialect()
    make_hub: typing.Any = mock.Mock()
    return task.RankAgent(
        agent_messages.Settings(
            cluster='c',
            instance='side-0',
            failure_domain='a',
            service='llm',
            engine_address=engine_address,
            link_address='127.0.0.1:0',
            seeds=[],
            key=b'k',
            metrics_address='',
            log_level='info',
        ),
        reactor=reactor,
        dialect=dialect,
        incarnation=1,
        make_hub=make_hub,
    )


@contextlib.contextmanager
def _run_agent(other_status=200):
    """Yield an agent, its engine and another rank's engine."""
    with reactor_module.Reactor() as reactor:
        own = _Engine(reactor, 200)
        other = _Engine(reactor, other_status)
        with own.server, other.server:
            agent = _make_agent(reactor, own.address)
            yield reactor, agent, own, other


def _run_until_sent(reactor, link):
    for _ in range(MAX_ITERATIONS):
        if link.sent:
            return link.sent
        reactor.call_later(0.001, lambda: None)
        reactor.run_once()
    raise AssertionError('nothing was sent')


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        (200, messages.Outcome.DONE),
        (202, messages.Outcome.DONE),
        (409, messages.Outcome.REFUSED),
        (503, messages.Outcome.UNKNOWN),
    ],
)
def test_order_is_relayed_to_another_engine(status, outcome):
    """Only the other rank's engine is called, and its state isn't read.

    To other machines an engine reports a state that is older than the order.
    """
    with _run_agent(status) as (reactor, agent, own, other):
        link = _Link()
        relay = messages.RelayOrder(
            address=other.address,
            target='i-5',
            group='g',
            rank=5,
            order=ORDER,
        )
        agent.handle_message(link, relay)
        assert _run_until_sent(reactor, link) == [
            messages.RelayedOrderDone(
                group='g', rank=5, order=7, outcome=outcome
            )
        ]
        assert other.paths == ['/order/release/12/i-5']
        assert own.paths == []


def test_order_to_the_own_engine():
    """The outcome of an order is reported with a state that was read after."""
    with _run_agent() as (reactor, agent, own, other):
        link = _Link()
        agent.handle_message(link, ORDER)
        (done,) = _run_until_sent(reactor, link)
        assert (done.order, done.outcome) == (7, messages.Outcome.DONE)
        assert done.state.target == 'side-0'
        assert own.paths[:2] == ['/order/release/12/', '/state']
        assert other.paths == []


# Wrong bytes in a poll's answer ended the agent.
def test_unreadable_report_changes_nothing():
    """The last state stays, and a row of such reports is logged once."""
    with (
        _run_agent() as (_reactor, agent, _own, _other),
        mock.patch.object(task, 'LOG') as log,
    ):
        state = _Dialect().read_state('side-0', 'llm', b'')
        agent._state = state
        dialect: typing.Any = mock.Mock()
        dialect.read_state.side_effect = errors.ReportError('rank 5 of 2')
        dialect.read_counts.side_effect = errors.ReportError('no list')
        dialect.read_experts.side_effect = errors.ReportError('no list')
        agent._dialect = dialect
        for _ in range(3):
            agent._handle_state(200, b'')
            agent._handle_counts(200, b'')
            agent._handle_experts(200, b'')
        assert agent._state is state
        kinds = [call.kwargs['kind'] for call in log.warning.mock_calls]
        assert kinds == ['state', 'counts', 'experts']


class _RepeatingEngine(_Engine):
    """Send each response a second time, when the next request has come.

    Each response names how many orders the engine had carried out by then.
    """

    def __init__(self, reactor):
        super().__init__(reactor, 200)
        self.orders = 0
        self.last_bodies: dict[typing.Any, bytes] = {}

    def _handle(self, exchange):
        self.paths.append(exchange.request.target)
        self.orders += exchange.request.target.startswith('/order')
        connection = exchange._connection
        body = self._make_body(exchange.request.target)
        # The copy comes first, so that it is taken for the answer.
        late = self.last_bodies.get(connection, body)
        self.last_bodies[connection] = body
        exchange.respond(200, [], late)

    def _make_body(self, path):
        return b'%d' % self.orders


class _RepeatingOrders(_RepeatingEngine):
    """Name the kind of call in each response."""

    def _make_body(self, path):
        return b'order' if path.startswith('/order') else b'state'


def test_late_copy_of_an_older_state():
    """A state that was read before an order isn't reported as one after it.

    Pattern: the engine sends a second copy of an answer, late, on the kept
    connection, when the next poll has been sent.
    """
    with reactor_module.Reactor() as reactor:
        engine = _RepeatingEngine(reactor)
        with engine.server:
            agent = _make_agent(reactor, engine.address)
            agent._dialect.read_state = _read_counted_state
            agent.set_up()
            for _ in range(20):
                agent._poll(agent._dialect.make_state_call(), mock.Mock())
                reactor.call_later(0.005, lambda: None)
                reactor.run_once()
            link = _Link()
            for number in range(1, 4):
                link.sent.clear()
                agent.handle_message(link, ORDER)
                _run_until_sent(reactor, link)
                (done,) = link.sent
                assert done.state.step == number


def _read_counted_state(target, service, body):
    """Return a state whose pass is the number that the engine named."""
    state = _Dialect().read_state(target, service, body)
    state.step = int(body)
    state.layout_version = 0
    return state


class _HoldingEngine(_Engine):
    """Keep the answers to some calls back until the test sends them."""

    def __init__(self, reactor, path):
        super().__init__(reactor, 200)
        self.path = path
        self.held = []

    def _handle(self, exchange):
        self.paths.append(exchange.request.target)
        if exchange.request.target == self.path:
            self.held.append(exchange)
        else:
            exchange.respond(200, [], b'state')


@contextlib.contextmanager
def _run_holding(path):
    """Yield an agent whose engine keeps the answers to one path back."""
    with reactor_module.Reactor() as reactor:
        engine = _HoldingEngine(reactor, path)
        with engine.server:
            agent = _make_agent(reactor, engine.address)
            agent._dialect.make_experts_call = lambda: _make_call('/experts')
            yield reactor, agent, engine


def _run_until(reactor, condition):
    for _ in range(MAX_ITERATIONS):
        if condition():
            return
        reactor.call_later(0.001, lambda: None)
        reactor.run_once()
    raise AssertionError('condition not met in time')


# A rank's experts were never read again after an order had been answered while
# they were being read.
def test_order_while_experts_are_read():
    """The call that the order cuts short has failed, and is made again."""
    with _run_holding('/experts') as (reactor, agent, engine):
        agent._dialect.read_state = _read_other_map
        agent._poll_state()
        _run_until(reactor, lambda: engine.held)
        link = _Link()
        agent.handle_message(link, ORDER)
        _run_until_sent(reactor, link)
        agent._poll_state()
        _run_until(reactor, lambda: len(engine.held) == 2)


# The outcome of an order was never reported, because the next order was
# answered while the state after the first was being read.
def test_each_order_has_its_outcome_reported():
    """Also if the engine answers two orders before it tells its state."""
    with _run_holding('/state') as (reactor, agent, engine):
        link = _Link()
        for order in (ORDER, dataclasses.replace(ORDER, order=8)):
            agent.handle_message(link, order)
        _run_until(reactor, lambda: len(engine.held) >= 2)
        for exchange in engine.held:
            exchange.respond(200, [], b'state')
        _run_until(reactor, lambda: len(link.sent) == 2)
        assert {done.order for done in link.sent} == {7, 8}


# The outcome of an order was never reported: a second copy of the response to
# it was taken for the state that was read after it.
def test_late_copy_of_the_response_to_an_order():
    """The copy comes when the next call over its connection has been made."""
    with reactor_module.Reactor() as reactor:
        engine = _RepeatingOrders(reactor)
        with engine.server:
            agent = _make_agent(reactor, engine.address)
            agent._dialect.read_state = _read_told_state
            link = _Link()
            agent.handle_message(link, ORDER)
            (done,) = _run_until_sent(reactor, link)
            assert done.order == 7


def _read_told_state(target, service, body):
    """Return the state, or None if the response is to another call."""
    if body != b'state':
        return None
    return _Dialect().read_state(target, service, body)


def _read_other_map(target, service, body):
    """Return a state with a map whose experts the agent hasn't read."""
    state = _Dialect().read_state(target, service, body)
    state.version = 1
    return state
