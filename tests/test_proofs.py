"""Run each proof with fixed seeds, with and without its safeguard.

A proof must pass, and must fail once the safeguard that it tests is
replaced by a faulty one.
"""

import importlib

import pytest

from bambooring.bookings import messages as bookings_messages
from bambooring.bookings import state as bookings_state
from bambooring.configuration import local_store
from bambooring.configuration import state as configuration_state
from bambooring.dispatch import messages as dispatch_messages
from bambooring.dispatch import state as dispatch_state
from bambooring import entry as entry_module
from bambooring.evacuation import task as evacuation_task
from bambooring.experts import switch
from bambooring.quarantine import state as quarantine_state
from bambooring.replication import state as replication_state
from bambooring.replication import storage
from bambooring.routing import state as routing_state
from bambooring_agent.scheduling import state as scheduling_state
from proofs import __main__ as proofs
from proofs import replication

STEPS = 40_000


def _run_proof(name: str, seed: int, steps: int = STEPS):
    return importlib.import_module(f'proofs.{name}').prove(seed, steps)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('name', proofs.PROOF_NAMES)
def test_proof_holds(name, seed):
    """No invariant is violated although faults were injected."""
    result = _run_proof(name, seed)
    assert not result.violations, '\n'.join(result.trace)
    assert result.faults


def test_proof_repeats():
    """Two runs with the same seed have the same result."""
    first = _run_proof('bookings', 5, 15_000)
    second = _run_proof('bookings', 5, 15_000)
    assert first == second


def _lose_vote(self, state):
    """Store neither the term nor the vote."""


def _reuse_storage_id(self, node):
    """Open a storage that gives a lost disk its previous identity."""
    number = 1000 + replication.REPLICA_NAMES.index(node.name)
    return storage.Storage(node.disk, lambda: number)


def _find_no_voter(self):
    """Keep each voter, also those that are lost."""


def _activate_without_peers(activate):
    """Activate a revision regardless of the revisions that peers hold."""
    return lambda self, held, now: activate(self, [], now)


def _find_no_conflict(self, change):
    """Report no conflict for any change."""
    return iter(())


def _grant_held_claim(answer_existing):
    """Grant a claim although another request holds it."""

    def answer(existing, claim):
        result = answer_existing(existing, claim)
        if result is None:
            return None
        if result.outcome is bookings_messages.ClaimOutcome.HELD:
            result.outcome = bookings_messages.ClaimOutcome.GRANTED
        return result

    return answer


def _accept_any_chunk(self, active_call, chunk):
    """Accept a chunk regardless of its offset."""
    active_call.attempt.received_bytes += len(chunk.data)
    yield from self._flush_to_caller(active_call)
    event = dispatch_messages.Data(data=chunk.data)
    yield from self._notify_caller(active_call, event)


def _add_no_tombstone(self, attempt_id, kind, now):
    """Keep no tombstone of an attempt."""


def _never_refuse(self, now):
    """Accept new attempts while leaving."""
    return False


def _suspect_nothing(self, digest, targets, crashed_at):
    """Suspect no request."""
    return False


def _is_majority_armed(self, switch):
    """Commit a switch once a majority of its ranks is armed, not all."""
    return len(switch.armed_ranks) * 2 > self._rank_count


GUARDS = [
    ('replication', 1, storage.Storage, 'save_hard_state', _lose_vote),
    (
        'replication',
        2,
        replication.ReplicationProof,
        'make_storage',
        _reuse_storage_id,
    ),
    (
        'replacements',
        1,
        replication_state.Replica,
        '_find_surplus_voter',
        _find_no_voter,
    ),
    (
        'configuration',
        1,
        local_store.LocalRecordStore,
        'activate_held_revision',
        _activate_without_peers(
            local_store.LocalRecordStore.activate_held_revision
        ),
    ),
    (
        'configuration',
        1,
        configuration_state.RecordStore,
        '_find_conflicts',
        _find_no_conflict,
    ),
    (
        'bookings',
        2,
        bookings_state,
        '_answer_existing',
        _grant_held_claim(bookings_state._answer_existing),
    ),
    (
        'answers',
        1,
        dispatch_state.Dispatcher,
        '_handle_chunk',
        _accept_any_chunk,
    ),
    (
        'expert_map',
        1,
        switch.Coordinator,
        '_are_all_ranks_armed',
        _is_majority_armed,
    ),
    (
        'refusals',
        1,
        scheduling_state.AttemptScheduler,
        '_add_tombstone',
        _add_no_tombstone,
    ),
    ('poison', 1, quarantine_state.Quarantine, 'note', _suspect_nothing),
]


@pytest.mark.parametrize(
    ('name', 'seed', 'owner', 'guard', 'replacement'), GUARDS
)
def test_proof_fails_without_guard(
    name, seed, owner, guard, replacement, monkeypatch
):
    """A proof fails if the safeguard that it tests is replaced."""
    monkeypatch.setattr(owner, guard, replacement)
    try:
        violations = _run_proof(name, seed, 60_000).violations
    except AssertionError as error:
        # An assertion in the state code itself may fail first.
        violations = [str(error)]
    assert violations


def _ignore_evacuations(self, domains):
    """Keep sending requests to evacuated failure domains."""


def _greet_nobody(self, link):
    """Send nothing to entry instances whose links come up."""


@pytest.mark.parametrize(
    ('owner', 'guard', 'replacement'),
    [
        (entry_module.Entry, '_evacuate_domains', _ignore_evacuations),
        (evacuation_task.EvacuationPublisher, 'greet', _greet_nobody),
    ],
)
def test_evacuation_fails_without_guard(
    owner, guard, replacement, monkeypatch
):
    """The proof sees an instance that ignores or misses an evacuation."""
    monkeypatch.setattr(owner, guard, replacement)
    assert _run_proof('evacuation', 1, 60_000).violations


def _ignore_leaving(monkeypatch):
    """Let entry instances use targets that announced leaving."""
    is_usable = property(lambda target: target.is_linked and target.is_ready)
    monkeypatch.setattr(routing_state.Target, 'is_usable', is_usable)


def test_leaving_holds_with_stale_entries(monkeypatch):
    """The agent alone keeps new attempts off a leaving target."""
    _ignore_leaving(monkeypatch)
    result = _run_proof('leaving', 1, 60_000)
    assert not result.violations, '\n'.join(result.trace)


def test_leaving_fails_without_guard(monkeypatch):
    """Without the agent's refusal, stale entry instances send attempts."""
    _ignore_leaving(monkeypatch)
    monkeypatch.setattr(
        scheduling_state.AttemptScheduler,
        '_refuses_new_attempts',
        _never_refuse,
    )
    assert _run_proof('leaving', 1, 60_000).violations
