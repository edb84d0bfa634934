"""Prove that an accepted configuration is in force soon and never reverts.

Operators race each other under equal numbers and send changes again after
losing the answers; instances restart, also inside a cut-off domain; some
instances know schema 1 of client accounts only.
"""

import dataclasses

from bambooring.configuration import errors
from bambooring.configuration import messages
from bambooring.configuration import records
from bambooring_core import settings
from proofs import declarations
from proofs import scenario
from proofs import world as world_module

DEFAULT_STEPS = 60_000
MAX_ACTIVATION_DELAY_S = 4.0
STARTUP_GRACE_S = 6.0
ACCOUNT_NAMES = ('herning-mill', 'vejle-mill', 'ikast-mill')
ANSWER_WAIT_S = 2.0
MAX_SENDS_PER_CHANGE = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorChange:
    """Hold one operator's change."""

    change_id: str
    edits: list[messages.Edit]
    answers: list[messages.ChangeAnswer] = dataclasses.field(
        default_factory=list
    )


class ConfigurationProof(scenario.Scenario):
    """Race operators and watch what is in force where."""

    LOAD_INTERVAL_S = 0.7
    FAULT_INTERVAL_RANGE_S = (0.5, 3.0)
    RECOVERY_S = 30.0

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.changes: dict[str, OperatorChange] = {}
        self.record_numbers = dict.fromkeys(ACCOUNT_NAMES, 0)
        self.accepted_s: dict[int, float] = {}
        self.winners: dict[tuple[str, int], str] = {}
        self.last_revisions: dict[str, int] = {}
        self.revisions_before_kill: dict[str, int] = {}
        self.undisturbed_since_s: dict[str, float] = {}
        old_schema_entry = self.cluster.entries[1]
        self.cluster.record_parsers[old_schema_entry] = (
            parse_without_account_schema_2
        )
        self.old_schema_entry = old_schema_entry
        self.world.schedule(8.5, self.check_entries)

    def get_faults(self) -> list[scenario.Callback]:
        """Return faults that leave each domain an entry instance."""
        cluster = self.cluster
        return [
            cluster.inject_link_break,
            cluster.inject_link_silence,
            lambda: cluster.inject_domain_cut(5.0),
            self.kill_entry,
            self.kill_entry,
            self.restart_in_cut_domain,
            self.restart_in_cut_domain,
            lambda: cluster.inject_kill(cluster.controls),
            lambda: cluster.inject_freeze(cluster.controls),
        ]

    def kill_entry(self) -> None:
        """Kill an entry whose neighbour has run for a while."""
        name = self.world.rng.choice(self.cluster.entries)
        node = self.cluster.nodes[name]
        neighbours = [
            self.cluster.nodes[other]
            for other in self.cluster.entries
            if other != name
            and self.cluster.nodes[other].domain == node.domain
        ]
        if not node.is_alive or not all(map(self.is_past_startup, neighbours)):
            return
        self.world.record_fault('kill', name)
        self.revisions_before_kill[name] = (
            node.process._record_store.revision_in_force
        )
        self.last_revisions.pop(name, None)
        self.cluster.kill(name, self.world.rng.uniform(0.2, 4.0))

    def restart_in_cut_domain(self) -> None:
        """Kill an entry inside a cut-off domain, its neighbour behind.

        The neighbour's links go silent first, so that it misses what comes
        while nobody has noticed yet.
        """
        domain = self.world.rng.choice(self.cluster.domains)
        entry_names = [
            name
            for name in self.cluster.entries
            if self.cluster.nodes[name].domain == domain
        ]
        if not all(
            self.is_past_startup(self.cluster.nodes[name])
            for name in entry_names
        ):
            return
        restarted_name, lagging_name = self.world.rng.sample(entry_names, 2)
        self.world.record_fault(
            'split', f'{restarted_name}, {lagging_name} behind'
        )
        hub = self.cluster.nodes[lagging_name].hub
        assert hub is not None
        for link in hub.links:
            self.cluster.network.silence(link)
        delay_s = self.world.rng.uniform(0.4, 1.2)
        self.world.schedule(
            delay_s, lambda: self.cut_and_kill(domain, restarted_name)
        )

    def cut_and_kill(self, domain: str, name: str) -> None:
        """Cut a domain off, without its replica, and restart an entry."""
        node = self.cluster.nodes[name]
        if not node.is_alive:
            return
        self.cluster.cut_domain(domain, 6.0)
        for replica in self.cluster.controls:
            if self.cluster.nodes[replica].domain == domain:
                self.cluster.kill(replica, 8.0)
        self.revisions_before_kill[name] = (
            node.process._record_store.revision_in_force
        )
        self.last_revisions.pop(name, None)
        self.cluster.kill(name, 0.3)

    def is_past_startup(self, node) -> bool:
        """Tell whether a node has run and served for a while."""
        if (
            not node.is_alive
            or node.process._record_store.revision_in_force == 0
        ):
            return False
        return self.world.now > node.started_s + STARTUP_GRACE_S

    # Operators.

    def generate_load(self) -> None:
        """Let two operators change the same record at the same number."""
        name = self.world.rng.choice(ACCOUNT_NAMES)
        record_number = self.record_numbers[name]
        for operator in ('one', 'two'):
            change_id = (
                f'{name}-{record_number}-{operator}-{len(self.changes)}'
            )
            change = OperatorChange(
                change_id=change_id,
                edits=[self.make_edit(name, record_number, operator)],
            )
            self.changes[change_id] = change
            self.send_change(change, MAX_SENDS_PER_CHANGE)

    def make_edit(
        self, name: str, record_number: int, operator: str
    ) -> messages.Edit:
        """Make a record, of schema 1 or 2 by chance."""
        digest = settings.compute_digest(f'{name}-{record_number}-{operator}')
        content = {'kind': 'client_account', 'name': name}
        if self.world.rng.random() < 0.5:
            content |= {'schema': 1, 'key_digest': digest}
        else:
            content |= {'schema': 2, 'keys': [{'digest': digest}]}
        return declarations.make_edit(content, record_number)

    def send_change(self, change: OperatorChange, sends_left: int) -> None:
        """Send a change to some replica; again after a lost answer."""
        answers = self.cluster.submit_change(
            change.change_id, change.edits, timeout_s=ANSWER_WAIT_S - 0.2
        )
        self.world.schedule(
            ANSWER_WAIT_S,
            lambda: self.handle_answers(change, answers, sends_left),
        )

    def handle_answers(
        self,
        change: OperatorChange,
        answers: list[messages.ChangeAnswer | None],
        sends_left: int,
    ) -> None:
        """Judge an answer; ask again to see that it stays the same."""
        answer = answers[0] if answers else None
        if answer is not None:
            self.record_answer(change, answer)
        if sends_left > 1 and (
            answer is None or self.world.rng.random() < 0.2
        ):
            self.world.facts['sent_again'] += 1
            self.send_change(change, sends_left - 1)

    def record_answer(
        self, change: OperatorChange, answer: messages.ChangeAnswer
    ) -> None:
        """Check an answer against the others."""
        if change.answers:
            self.world.check(
                change.answers[0] == answer,
                f'{change.change_id}: another answer the second time',
            )
            return
        change.answers.append(answer)
        self.world.facts[answer.outcome.value] += 1
        edit = change.edits[0]
        if answer.outcome is not messages.ChangeOutcome.ACCEPTED:
            return
        self.accepted_s.setdefault(answer.revision, self.world.now)
        record_version = (edit.name, edit.expected)
        winner = self.winners.setdefault(record_version, change.change_id)
        self.world.check(
            winner == change.change_id,
            f'{winner} and {change.change_id} both won {record_version}',
        )
        self.record_numbers[edit.name] = max(
            self.record_numbers[edit.name], edit.expected + 1
        )

    # What is in force.

    def check_entries(self) -> None:
        """Look at every entry instance now and then."""
        self.world.schedule(0.1, self.check_entries)
        for name in self.cluster.entries:
            self.check_entry(name)

    def check_entry(self, name: str) -> None:
        """Check one entry instance."""
        node = self.cluster.nodes[name]
        if not node.is_alive:
            self.undisturbed_since_s.pop(name, None)
            return
        revision_in_force = node.process._record_store.revision_in_force
        self.check_revision_order(name, revision_in_force)
        if not self.is_undisturbed(node):
            self.undisturbed_since_s.pop(name, None)
            return
        undisturbed_since_s = self.undisturbed_since_s.setdefault(
            name, self.world.now
        )
        for revision, accepted_s in self.accepted_s.items():
            if revision > revision_in_force:
                delay_s = self.world.now - max(accepted_s, undisturbed_since_s)
                self.world.check(
                    delay_s <= MAX_ACTIVATION_DELAY_S,
                    f'{name}: revision {revision} is not in force'
                    f' {delay_s:.1f} s after it was accepted',
                )

    def check_revision_order(self, name: str, revision_in_force: int) -> None:
        """Check that the revision in force never goes back."""
        if not revision_in_force:
            return
        previous_revision = self.last_revisions.get(name)
        if previous_revision is None:
            previous_revision = self.revisions_before_kill.pop(name, 0)
            self.world.facts['restarts_checked'] += 1
        self.world.check(
            revision_in_force >= previous_revision,
            f'{name}: {revision_in_force} in force after {previous_revision}',
        )
        self.last_revisions[name] = revision_in_force

    def is_undisturbed(self, node) -> bool:
        """Tell whether an instance and its domain can be reached."""
        if self.world.now < node.started_s + STARTUP_GRACE_S:
            return False
        if self.cluster.network.cut_domain_pairs:
            return False
        domain_nodes = [
            self.cluster.nodes[name]
            for name in self.cluster.entries
            if self.cluster.nodes[name].domain == node.domain
        ]
        return not any(other.is_frozen for other in domain_nodes) and any(
            self.cluster.nodes[name].is_alive
            and not self.cluster.nodes[name].is_frozen
            for name in self.cluster.controls
        )

    def check_final_state(self) -> None:
        """Require that all agree on the newest revision, old ones too."""
        self.world.check(self.accepted_s, 'nothing was accepted')
        newest_revision = max(self.accepted_s)
        for name in self.cluster.entries:
            record_store = self.cluster.nodes[name].process._record_store
            self.world.check(
                record_store.revision_in_force >= newest_revision,
                f'{name}: {record_store.revision_in_force} in force, not {newest_revision}',
            )
        self.check_old_schema_entry()

    def check_old_schema_entry(self) -> None:
        """Require that an old instance relays what it can't read."""
        old_store = self.cluster.nodes[
            self.old_schema_entry
        ].process._record_store
        current_store = self.cluster.nodes[
            self.cluster.entries[0]
        ].process._record_store
        self.world.check(
            old_store.records == current_store.records,
            'an old instance changed a record',
        )
        unknown_count = sum(
            needs_account_schema_2(record.content)
            for record in old_store.records.values()
        )
        self.world.check(
            old_store.view.unknown_schemas == unknown_count,
            f'the old instance reports {old_store.view.unknown_schemas} records'
            f' it does not know, not {unknown_count}',
        )


def needs_account_schema_2(content: bytes) -> bool:
    """Tell whether an old instance can't read a record of the race."""
    return b'"schema": 2' in content and b'account-' not in content


def parse_without_account_schema_2(content: bytes):
    """Parse a record as software did before account schema 2."""
    if needs_account_schema_2(content):
        raise errors.UnknownSchemaError('record: schema: expected one of 1')
    return records.parse(content)


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof(
        'configuration', seed, steps, ConfigurationProof
    )
