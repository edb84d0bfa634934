"""Test how orders reach the ranks of a model group."""

import typing
from unittest import mock

import pytest

from bambooring.experts import rebalancer_types
from bambooring.experts import rebalancing
from bambooring.gateway import groups
from bambooring.targets import messages as targets
from bambooring_core import frames
from bambooring_core.ranks import messages

ORDER = messages.RankOrder(
    order=7, kind=messages.OrderKind.RELEASE, epoch=1, step=12
)


class _Link:
    """Record the messages that are sent over an agent's link."""

    def __init__(self, name, failure_domain):
        self.name = name
        self.peer = mock.Mock(failure_domain=failure_domain)
        self.sent = []

    def send(self, message):
        """Record a message."""
        self.sent.append(message)

    def send_frame(self, frame):
        """Record the message of a frame."""
        self.sent += frames.FrameReader().feed(frame)


def _make_target(**changes):
    values: typing.Any = {
        'id': 'i-0',
        'service': 'llm',
        'address': '10.0.0.1:8080',
        'failure_domain': 'a',
        'slots': 4,
        'state': targets.State.READY,
        'born_ms': 1,
        'sequence': 1,
        'group': 'g',
        'group_epoch': 1,
        'rank': 0,
    }
    return targets.Target(**(values | changes))


def _send(effect, links, target):
    manager = groups.GroupManager(
        reactor=mock.Mock(),
        get_agent_links=lambda: links,
        get_term=lambda: 1,
        get_engine_spec=lambda service: None,
        find_rank=lambda group, rank: target,
        get_entry_links=list,
    )
    rebalancer = mock.Mock(spec=rebalancing.Rebalancer, group='g')
    manager._carry_out(rebalancer, iter([effect]))


def _make_links():
    return [_Link('side-0', 'a'), _Link('side-1', 'b'), _Link('side-2', 'a')]


def test_order_goes_to_the_own_agent():
    """An order goes to the agent of its rank."""
    links = _make_links()
    _send(
        rebalancer_types.SendOrder(target='side-0', rank=0, order=ORDER),
        links,
        _make_target(),
    )
    assert [link.sent for link in links] == [[ORDER], [], []]


def test_relayed_order_goes_to_a_near_agent():
    """Another agent of the engine's failure domain gets its address."""
    links = _make_links()
    _send(
        rebalancer_types.SendOrder(
            target='side-0', rank=0, order=ORDER, is_relayed=True
        ),
        links,
        _make_target(),
    )
    relay = messages.RelayOrder(
        address='10.0.0.1:8080',
        target='i-0',
        group='g',
        rank=0,
        order=ORDER,
    )
    assert [link.sent for link in links] == [[], [], [relay]]


@pytest.mark.parametrize('target', [None, _make_target()])
def test_order_that_can_not_be_relayed(target):
    """Without an address or another agent, a relayed order is dropped."""
    links = _make_links()[:1] if target else _make_links()
    _send(
        rebalancer_types.SendOrder(
            target='side-0', rank=0, order=ORDER, is_relayed=True
        ),
        links,
        target,
    )
    assert not any(link.sent for link in links)
