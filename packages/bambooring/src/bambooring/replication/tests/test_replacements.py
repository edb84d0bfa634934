"""Test that a control group outlives the replacement of its machines."""

import pytest

from proofs import replacements
from proofs import world as world_module

CATCH_UP_S = replacements.CATCH_UP_S


class Group(replacements.ReplacementProof):
    """A group that bears one loss, without faults that a test doesn't ask for.

    While it runs, commands must be accepted.
    """

    def __init__(self):
        super().__init__(world_module.World(7), 1)
        self.is_injecting_faults = False
        for machine in self.machines.values():
            self.start(machine)
        self.world.schedule(0.0, self.propose)
        self.world.schedule(0.0, self.check_group)
        self.run_for(CATCH_UP_S)

    def run_for(self, duration_s):
        """Let time pass."""
        self.world.run_for(duration_s)

    def list_machines(self):
        """Return the machines that run, the leader first."""
        return sorted(
            (
                machine
                for machine in self.machines.values()
                if machine.process is not None
            ),
            key=lambda machine: not machine.process.is_leader,
        )

    def check(self):
        """Check that all work and that the voters are those that run."""
        self.run_for(CATCH_UP_S)
        self.check_voters()
        self.check_final_state()

    def cut_off(self, machine, duration_s):
        """Cut a machine off for a time."""
        for name in self.machines:
            self.cut_directions |= {(machine.name, name), (name, machine.name)}
        self.run_for(duration_s)
        self.cut_directions.clear()


@pytest.fixture
def group():
    """Return a group of three machines that runs."""
    return Group()


# The leader is linked to no replica whose seeds don't name it.
def test_newcomer_finds_a_leader_that_its_seeds_lack(group):
    """It learns the other voters from those that it knows."""
    followers = group.list_machines()[1:]
    group.choose_seeds = lambda: [machine.name for machine in followers]
    group.add_successor(0.0)
    group.check()
    assert len(group.machines) == 4
