"""Run each proof on fixed seeds, and see it fail without its guard."""

import importlib

import pytest

from bambooring.bookings import messages as bookings_messages
from bambooring.bookings import state as bookings_state
from bambooring.configuration import local_store
from bambooring.configuration import state as configuration_state
from bambooring.dispatch import messages as dispatch_messages
from bambooring.dispatch import state as dispatch_state
from bambooring.experts import switch
from bambooring.quarantine import state as quarantine_state
from bambooring.replication import storage
from bambooring.routing import state as routing_state
from bambooring_agent.scheduling import state as scheduling_state
from proofs import __main__ as proofs
from proofs import replication

STEPS = 40_000


def _prove(name: str, seed: int, steps: int = STEPS):
    return importlib.import_module(f'proofs.{name}').prove(seed, steps)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('name', proofs.NAMES)
def test_proof_holds(name, seed):
    """No invariant is violated, and faults were brought about."""
    result = _prove(name, seed)
    assert not result.violations, '\n'.join(result.trace)
    assert result.faults


def test_proof_repeats():
    """The same seed gives the same run."""
    first = _prove('bookings', 5, 15_000)
    second = _prove('bookings', 5, 15_000)
    assert first == second


def _forget_vote(self, state):
    """Lose the term and the vote."""


def _make_same_id(self, node):
    """Give a lost disk its old identity again."""
    number = 1000 + replication.NAMES.index(node.name)
    return storage.Storage(node.disk, lambda: number)


def _activate_alone(activate):
    """Put a revision in force whatever the neighbours hold."""
    return lambda self, held, now: activate(self, [], now)


def _accept_any(self, change):
    """Find no conflict."""
    return iter(())


def _grant_held(answer_existing):
    """Grant a claim that another request holds."""

    def answer(existing, claim):
        found = answer_existing(existing, claim)
        if found is None:
            return None
        if found.outcome is bookings_messages.ClaimOutcome.HELD:
            found.outcome = bookings_messages.ClaimOutcome.GRANTED
        return found

    return answer


def _take_any_chunk(self, active_call, chunk):
    """Take a chunk whatever its offset."""
    active_call.attempt.received_bytes += len(chunk.data)
    yield from self._flush_to_caller(active_call)
    event = dispatch_messages.Data(data=chunk.data)
    yield from self._notify_caller(active_call, event)


def _forget_attempt(self, attempt_id, kind, now):
    """Leave no tombstone."""


def _never_refuse(self, now):
    """Take new work while leaving."""
    return False


def _note_nothing(self, digest, targets, at):
    """Suspect no request."""
    return False


def _has_most_promises(self, switch):
    """Commit before every rank has promised to hold."""
    return len(switch.armed_ranks) * 2 > self._rank_count


GUARDS = [
    ('replication', 4, storage.Storage, 'save_hard_state', _forget_vote),
    (
        'replication',
        2,
        replication.ReplicationProof,
        'make_storage',
        _make_same_id,
    ),
    (
        'configuration',
        1,
        local_store.LocalRecordStore,
        'activate_held_revision',
        _activate_alone(local_store.LocalRecordStore.activate_held_revision),
    ),
    (
        'configuration',
        1,
        configuration_state.RecordStore,
        '_find_conflicts',
        _accept_any,
    ),
    (
        'bookings',
        2,
        bookings_state,
        '_answer_existing',
        _grant_held(bookings_state._answer_existing),
    ),
    (
        'answers',
        1,
        dispatch_state.Dispatcher,
        '_handle_chunk',
        _take_any_chunk,
    ),
    (
        'expert_map',
        1,
        switch.Coordinator,
        '_are_all_ranks_armed',
        _has_most_promises,
    ),
    (
        'refusals',
        1,
        scheduling_state.AttemptScheduler,
        '_add_tombstone',
        _forget_attempt,
    ),
    ('poison', 1, quarantine_state.Quarantine, 'note', _note_nothing),
]


@pytest.mark.parametrize(('name', 'seed', 'owner', 'guard', 'without'), GUARDS)
def test_proof_fails_without_guard(
    name, seed, owner, guard, without, monkeypatch
):
    """A proof finds what happens once a guard is away."""
    monkeypatch.setattr(owner, guard, without)
    try:
        violations = _prove(name, seed, 60_000).violations
    except AssertionError as error:
        # The state code's own assertion may come first.
        violations = [str(error)]
    assert violations


def _ignore_leaving(monkeypatch):
    """Let entry instances send to targets that said they leave."""
    usable = property(lambda target: target.is_linked and target.is_ready)
    monkeypatch.setattr(routing_state.Target, 'is_usable', usable)


def test_leaving_holds_with_stale_entries(monkeypatch):
    """The agent alone keeps new work off a leaving target."""
    _ignore_leaving(monkeypatch)
    result = _prove('leaving', 1, 60_000)
    assert not result.violations, '\n'.join(result.trace)


def test_leaving_fails_without_guard(monkeypatch):
    """Without the agent's refusal, stale entries send new work."""
    _ignore_leaving(monkeypatch)
    monkeypatch.setattr(
        scheduling_state.AttemptScheduler,
        '_refuses_new_attempts',
        _never_refuse,
    )
    assert _prove('leaving', 1, 60_000).violations
