"""Test that the checks of the exchange notice if one of its guards is missing.

A relay is frozen, datagrams come late, and a mode changes; each time the
counts of all instances are compared with the truth. With all guards nothing is
wrong; with one taken away something is.
"""

import pytest

from bambooring.loads import const
from bambooring.loads import exchange
from bambooring.loads import messages
from bambooring.loads import relays
from bambooring.loads import state
from bambooring.loads import summaries
from bambooring.loads.tests import fleet as fleet_module

TWO_INTERVALS_S = 3 * const.RELAY_INTERVAL_S + 0.02


def _make_fleet():
    fleet = fleet_module.Fleet(domains=2, per_domain=18, seed=5)
    fleet.run(const.RELAY_WARM_UP_S + 0.3)
    return fleet


def _count_wrong(fleet, domain, target='t'):
    true = fleet.count_running(target)
    return sum(
        instance.count_seen(target) != true
        for instance in fleet.list_living()
        if instance.domain == domain
    )


def run_frozen_relay():
    """Return how many counts are wrong after a frozen relay wakes.

    While it was frozen its domain's load changed, and what its neighbours sent
    to it is lost, as when a machine's memory of the network is full.
    """
    fleet = _make_fleet()
    fleet.add_request('10.0.0.005:70', 't', 9)
    fleet.run(TWO_INTERVALS_S)
    relay = fleet.instances['10.0.0.000:70']
    relay.is_frozen = True
    fleet.run(0.5)
    fleet.add_request('10.0.0.005:70', 't', -8)
    fleet.run(0.3)
    relay.inbox.clear()
    relay.is_frozen = False
    wrong = 0
    for _ in range(5):
        fleet.run(const.RELAY_INTERVAL_S)
        wrong += _count_wrong(fleet, 'd1')
    return wrong


def run_late_summary():
    """Return how many counts are wrong after an old summary comes late."""
    fleet = _make_fleet()
    fleet.add_request('10.0.0.005:70', 't', 1)
    fleet.run(TWO_INTERVALS_S)
    late = messages.DomainLoad(
        failure_domain='d0',
        sender='10.0.0.000:70',
        incarnation=1,
        sequence=1,
        is_full=True,
        age_ms=0,
        target_keys=[summaries.compute_target_key('t')],
        running=[9],
        tokens=[9],
        services=[],
    )
    for instance in fleet.list_living():
        if instance.domain == 'd1':
            instance.exchange.handle(late, fleet.now_s, fleet.now_s)
    return _count_wrong(fleet, 'd1')


def run_foreign_report():
    """Return how many counts are wrong after a report of another domain."""
    fleet = _make_fleet()
    fleet.add_request('10.0.0.005:70', 't', 2)
    fleet.run(TWO_INTERVALS_S)
    report = fleet.instances['10.0.0.005:70'].make_report()
    for instance in fleet.list_living():
        if instance.domain == 'd1':
            instance.exchange.handle(report, fleet.now_s, fleet.now_s)
    return _count_wrong(fleet, 'd1')


@pytest.mark.parametrize(
    'run', [run_frozen_relay, run_late_summary, run_foreign_report]
)
def test_nothing_is_wrong_with_all_guards(run):
    """With all guards no instance has a wrong count."""
    assert run() == 0


def test_relay_that_was_frozen(monkeypatch):
    """Without the warm-up a relay that wakes sends what it knew before."""

    def update(self, now_s):
        self._updated_s = now_s

    monkeypatch.setattr(relays.RelayElection, 'update', update)
    assert run_frozen_relay()


def test_order_of_summaries(monkeypatch):
    """Without the check of the sequence an old summary undoes a newer one."""
    monkeypatch.setattr(
        summaries, '_is_successor', lambda domain, summary: True
    )
    assert run_late_summary()


def test_reports_of_other_domains(monkeypatch):
    """Without the check of the sender's domain its load is doubled."""
    monkeypatch.setattr(
        exchange.LoadExchange, '_is_remote', lambda self, address: False
    )
    monkeypatch.setattr(
        state.ClusterLoads, 'drop_reports', lambda self, senders: None
    )
    assert run_foreign_report()
