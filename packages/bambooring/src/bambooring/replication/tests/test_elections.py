"""Test elections of one replica whose messages a test delivers or drops."""

import random

import pytest

from bambooring.replication import const
from bambooring.replication import log as log_module
from bambooring.replication import messages
from bambooring.replication import state

IDS = (1, 2, 3)


def _make_replica(ids):
    """Return replica 1 of a group, which has just been formed."""
    members = [messages.Member(id=id, name=str(id)) for id in ids]
    return state.Replica(
        id=1,
        name='1',
        voter_names=[str(id) for id in ids],
        hard_state=messages.HardState(term=1, voted_for=0),
        snapshot=None,
        entries=[
            messages.Entry(
                index=1,
                term=1,
                kind=messages.EntryKind.MEMBERS,
                data=log_module.encode_members(members),
            )
        ],
        rng=random.Random(1),
        now=0.0,
    )


@pytest.fixture
def candidate():
    """Return a replica whose requests for votes were not delivered."""
    replica = _make_replica(IDS)
    replica.step(messages.TimeoutNow(term=1, leader=2), 0.1)
    assert len(_take_requests(replica)) == 2
    return replica


def _take_requests(replica):
    """Return the requests for votes that the replica sends, by receiver."""
    ready = replica.take_ready()
    return {
        envelope.receiver_id: envelope.message
        for envelope in (ready.envelopes if ready else [])
        if isinstance(envelope.message, messages.VoteRequest)
    }


# A replica that came back just after an election had begun was not asked.
def test_candidate_asks_again(candidate):
    """It is elected by a replica that missed the first request."""
    candidate.tick(0.1 + const.HEARTBEAT_INTERVAL_S)
    requests = _take_requests(candidate)
    assert set(requests) == {2, 3}
    assert all(request.term == 2 for request in requests.values())
    reply = messages.VoteReply(term=2, voter=3, is_granted=True, is_pre=False)
    candidate.step(reply, 0.3)
    assert candidate.is_leader


def test_candidate_asks_at_an_interval(candidate):
    """Between two requests it waits, and a leader asks for no votes."""
    candidate.tick(0.1 + const.HEARTBEAT_INTERVAL_S / 2)
    assert not _take_requests(candidate)
    reply = messages.VoteReply(term=2, voter=3, is_granted=True, is_pre=False)
    candidate.step(reply, 0.3)
    candidate.tick(0.3 + const.HEARTBEAT_INTERVAL_S)
    assert not _take_requests(candidate)


def _make_leader():
    """Return a leader of four voters, one of which is lost."""
    leader = _make_replica((1, 2, 3, 4))
    leader.step(messages.TimeoutNow(term=1, leader=2), 0.1)
    for id in (2, 3):
        reply = messages.VoteReply(
            term=2, voter=id, is_granted=True, is_pre=False
        )
        leader.step(reply, 0.2)
    assert leader.is_leader
    return leader


def _list_asked(leader):
    """Return the ids of the followers that are asked to lead."""
    ready = leader.take_ready()
    return [
        envelope.receiver_id
        for envelope in (ready.envelopes if ready else [])
        if isinstance(envelope.message, messages.TimeoutNow)
    ]


def _acknowledge(leader, follower_id, index):
    reply = messages.AppendReply(
        term=2, follower=follower_id, is_success=True, index=index
    )
    leader.step(reply, 0.3)


# A follower that lacked the last entry was asked to lead. Where it needed the
# old leader's vote it didn't get it, and this went on for seconds.
def test_leadership_goes_to_a_follower_that_has_the_whole_log():
    """Until then nothing is appended, so that it can catch up."""
    leader = _make_leader()
    assert leader.propose(b'x') == (3, 2)
    _acknowledge(leader, 2, 2)
    assert leader.transfer_leadership()
    assert not _list_asked(leader)
    assert leader.propose(b'y') is None
    _acknowledge(leader, 2, 3)
    assert _list_asked(leader) == [2]


def test_leader_goes_on_if_nobody_takes_over():
    """It takes proposals again after an election timeout."""
    leader = _make_leader()
    assert leader.transfer_leadership()
    for id in (2, 3):
        _acknowledge(leader, id, 1)
    leader.tick(0.2 + const.ELECTION_TIMEOUT_S + 0.01)
    assert leader.propose(b'x') == (3, 2)


def test_urgent_handover_does_not_wait():
    """A replica that can't save anything asks at once."""
    leader = _make_leader()
    assert leader.transfer_leadership(is_urgent=True)
    assert len(_list_asked(leader)) == 1
