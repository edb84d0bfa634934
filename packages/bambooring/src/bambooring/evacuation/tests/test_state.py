"""Test the replicated evacuations."""

import pytest

from bambooring.evacuation import const
from bambooring.evacuation import errors
from bambooring.evacuation import messages
from bambooring.evacuation import state
from bambooring.policy import messages as policy
from bambooring.replication import messages as replication
from bambooring import state_machine as state_machine_module
from bambooring_core import codec


ORDER = messages.Order(failure_domain='a', is_evacuated=True, revision=0)


def _order(store, domain, is_evacuated=True, revision=None):
    """Carry out an order that knows the newest revision, or another one."""
    if revision is None:
        revision = store.evacuations.revision
    ordered = store.apply(
        messages.Order(
            failure_domain=domain, is_evacuated=is_evacuated, revision=revision
        )
    )
    return ordered.outcome.value, ordered.revision


def test_repeated_order_changes_nothing():
    """An operator who resends an order doesn't have it sent out again."""
    store = state.EvacuationStore()
    assert _order(store, 'a') == ('changed', 1)
    assert _order(store, 'a') == ('repeated', 1)
    assert store.evacuations.failure_domains == ['a']


def test_withdrawal_keeps_other_evacuations():
    """A withdrawal of one failure domain doesn't reopen another one."""
    store = state.EvacuationStore()
    _order(store, 'b')
    _order(store, 'a')
    assert store.evacuations.failure_domains == ['a', 'b']
    assert _order(store, 'b', False) == ('changed', 3)
    assert store.evacuations.failure_domains == ['a']
    assert _order(store, 'b', False) == ('repeated', 3)


# A replica that was frozen carried out a withdrawal that its operator had
# given up, after the next evacuation was acknowledged.
def test_late_order_does_not_undo_a_later_one():
    """An order that doesn't know of the latest change is superseded."""
    store = state.EvacuationStore()
    _order(store, 'a')
    _order(store, 'a', False)
    _order(store, 'a')
    assert _order(store, 'a', False, revision=1) == ('superseded', 3)
    assert _order(store, 'a', True, revision=1) == ('repeated', 3)
    assert store.evacuations.failure_domains == ['a']


def test_sent_evacuations_are_not_modified():
    """A message that waits to be sent doesn't change with a later order."""
    store = state.EvacuationStore()
    _order(store, 'a')
    sent = store.evacuations
    _order(store, 'b')
    assert (sent.revision, sent.failure_domains) == (1, ['a'])


def test_number_of_evacuations_is_bounded():
    """Orders with names at random don't fill the replicated state."""
    store = state.EvacuationStore()
    for number in range(const.MAX_FAILURE_DOMAINS):
        _order(store, str(number))
    assert _order(store, 'more')[0] == 'refused'
    assert _order(store, '0', False)[0] == 'changed'
    assert _order(store, 'more')[0] == 'changed'


def test_unknown_domain():
    """A misspelt name is refused rather than evacuating nothing."""
    none = messages.Evacuations(revision=0, failure_domains=[])
    state.check_domain('a', {'a': 'r'}, none)
    state.check_domain('any', {}, none)
    with pytest.raises(errors.UnknownDomainError):
        state.check_domain('b', {'a': 'r'}, none)


def test_removed_domain_can_be_withdrawn():
    """The evacuation of a domain that left the settings isn't stuck."""
    evacuations = messages.Evacuations(revision=1, failure_domains=['old'])
    state.check_domain('old', {'a': 'r'}, evacuations)


def _apply(state_machine, command):
    stamped = replication.Stamped(at_s=1.0, command=codec.pack(command))
    return codec.unpack(state_machine.apply(codec.pack(stamped)))


def test_evacuations_survive_a_snapshot():
    """A replica that starts from a snapshot knows what is evacuated."""
    state_machine = state_machine_module.ControlStateMachine()
    _apply(state_machine, ORDER)
    restored = state_machine_module.ControlStateMachine()
    restored.restore(state_machine.save())
    assert restored.evacuation.evacuations == messages.Evacuations(
        revision=1, failure_domains=['a']
    )


def test_older_snapshot_restores_without_evacuations():
    """A snapshot without evacuations replaces those that were known."""
    older = state_machine_module.ControlStateMachine().save()
    state_machine = state_machine_module.ControlStateMachine()
    _apply(state_machine, ORDER)
    state_machine.restore(older)
    assert state_machine.evacuation.evacuations.revision == 0


def test_lease_is_granted_with_the_revision_of_the_log():
    """A grant can't hide an evacuation that was committed before it."""
    state_machine = state_machine_module.ControlStateMachine()
    consult = policy.Consult(is_whole=False)
    assert _apply(state_machine, consult).evacuation_revision == 0
    _apply(state_machine, ORDER)
    assert _apply(state_machine, consult).evacuation_revision == 1
