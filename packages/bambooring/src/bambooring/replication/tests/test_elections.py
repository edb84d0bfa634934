"""Test elections of one replica whose messages a test delivers or drops."""

import random

import pytest

from bambooring.replication import const
from bambooring.replication import log as log_module
from bambooring.replication import messages
from bambooring.replication import state

IDS = (1, 2, 3)


@pytest.fixture
def candidate():
    """Return a replica whose requests for votes were not delivered."""
    members = [messages.Member(id=id, name=str(id)) for id in IDS]
    replica = state.Replica(
        id=1,
        name='1',
        voter_names=[str(id) for id in IDS],
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
