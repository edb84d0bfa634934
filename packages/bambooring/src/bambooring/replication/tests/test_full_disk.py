"""Test how a replica behaves while its disk is full."""

import random

import pytest

from bambooring.policy import messages as policy
from bambooring.replication import const
from bambooring.replication import messages
from bambooring.replication import storage
from bambooring.replication import task
from bambooring import state_machine as state_machine_module
from bambooring_core import codec
from proofs import disk as disk_module


class Replica:
    """A replica that is the only voter, with its disk."""

    def __init__(self):
        self.disk = disk_module.MemoryDisk(random.Random(1))
        self.now_s = 0.0
        self.replies: list[messages.Proposed] = []
        self.start()

    def start(self):
        """Start a process with what is on the disk."""
        self.replicator = task.Replicator(
            storage=storage.Storage(self.disk),
            state_machine=state_machine_module.ControlStateMachine(),
            name='a',
            voter_names=['a'],
            send=lambda receiver_id, message: None,
            add_timestamp=task.make_timestamper(lambda: 0.0),
            rng=random.Random(1),
            now=self.now_s,
        )

    def run_for(self, duration_s):
        """Let time pass, one tick at a time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += const.TICK_INTERVAL_S
            self.replicator.tick(self.now_s)
            self.replicator.flush(self.now_s)

    def propose(self):
        """Propose a command."""
        command = codec.pack(policy.Consult(is_whole=False))
        proposal = messages.Propose(proposal=7, command=command)
        self.replicator.propose(proposal, self.replies.append)
        self.replicator.flush(self.now_s)


@pytest.fixture
def replica():
    """Return a replica that leads."""
    leader = Replica()
    leader.run_for(4.0)
    assert leader.replicator.is_leader
    return leader


# Changes waited until their timeout when the leader's disk was full.
def test_waiting_proposals_are_refused(replica):
    """A proposal whose entry can't be saved is refused at once."""
    replica.disk.is_full = True
    replica.propose()
    (reply,) = replica.replies
    assert not reply.is_accepted
    assert not replica.replicator.is_leader


# A replica missed seconds, in which another one's disk became full too.
def test_replica_is_back_soon_after_its_disk_has_room(replica):
    """While the disk is full it stays away, and then it takes part again."""
    replica.disk.is_full = True
    replica.propose()
    replica.run_for(3.0)
    assert replica.replicator.replica is None
    replica.disk.is_full = False
    replica.run_for(0.3)
    assert replica.replicator.replica is not None
    replica.run_for(2.0)
    replica.propose()
    assert replica.replies[-1].is_accepted


# A control replica that started while its disk was full ended again and again.
def test_replica_starts_while_its_disk_is_full(replica):
    """What it has can be read, so it waits for room as it does later."""
    replica.disk.is_full = True
    replica.start()
    assert replica.replicator.replica is None
    replica.run_for(1.0)
    replica.disk.is_full = False
    replica.run_for(4.0)
    assert replica.replicator.is_leader
