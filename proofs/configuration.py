"""Prove that an accepted change is in force soon and never reverted.

Operators send conflicting changes of the same record and resend changes
whose answers are lost. Entry instances restart, also in a failure domain
that is cut off from the others. One entry instance knows only schema 1 of
client accounts.
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
# From when a change is accepted, or from when the entry instance is
# undisturbed if that is later, until the change is in force there.
MAX_ACTIVATION_DELAY_S = 4.0
# Until this long after its start, an entry instance may lack revisions, and
# its neighbour is not killed.
STARTUP_GRACE_S = 6.0
ACCOUNT_NAMES = ('herning-mill', 'vejle-mill', 'ikast-mill')
ANSWER_WAIT_S = 2.0
MAX_SENDS_PER_CHANGE = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorChange:
    """A change that an operator sends, and the first answer to it."""

    change_id: str
    edits: list[messages.Edit]
    answers: list[messages.ChangeAnswer] = dataclasses.field(
        default_factory=list
    )


class ConfigurationProof(scenario.Scenario):
    """Send conflicting changes and check what each entry instance uses.

    ``record_numbers`` has the number of each account's record, 0 for none.
    ``accepted_s`` has the times at which revisions were first known to be
    accepted, ``winners`` the id of the change accepted for each name and
    expected number. By entry instance, ``last_revisions`` has the revision
    last seen in force, ``revisions_before_kill`` the one in force when it was
    killed, and ``undisturbed_since_s`` the time since which no fault has kept
    it from activating revisions.
    """

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
        """Return faults that leave each domain a live entry instance."""
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
        """Kill an entry instance if its neighbour is past its startup."""
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
        """Restart an entry instance of a cut-off domain.

        The links of its neighbour first stop delivering without an error. So
        the neighbour misses the latest revisions before any other process
        has noticed, and the restarted instance finds it lagging behind.
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
            'split', f'{restarted_name}, {lagging_name} lags'
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
        """Cut a domain off, kill its replica and restart an entry instance."""
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
        """Return whether an entry instance is configured and past startup."""
        if (
            not node.is_alive
            or node.process._record_store.revision_in_force == 0
        ):
            return False
        return self.world.now > node.started_s + STARTUP_GRACE_S

    # Operators.

    def generate_load(self) -> None:
        """Send two changes that expect the same number of a record."""
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
        """Return an edit of a client account, randomly of schema 1 or 2."""
        digest = settings.compute_digest(f'{name}-{record_number}-{operator}')
        content = {'kind': 'client_account', 'name': name}
        if self.world.rng.random() < 0.5:
            content |= {'schema': 1, 'key_digest': digest}
        else:
            content |= {'schema': 2, 'keys': [{'digest': digest}]}
        return declarations.make_edit(content, record_number)

    def send_change(self, change: OperatorChange, sends_left: int) -> None:
        """Send a change to a random replica, and handle the answer later.

        :param change: the change
        :param sends_left: the number of requests permitted, with this one
        """
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
        """Check an answer, and resend the change if there is none.

        Some changes are resent although they have been answered, to check
        that the answer stays the same.

        :param change: the change
        :param answers: the answer; empty or None if there is none
        :param sends_left: the number of requests permitted, with the last one
        """
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
        """Record an answer and check it.

        It must equal an earlier answer to the same change, and only one
        change may be accepted for an expected number of a record.
        """
        if change.answers:
            self.world.check(
                change.answers[0] == answer,
                f'{change.change_id}: answer differs from the first one',
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
            f'{winner} and {change.change_id} were both accepted for'
            f' {record_version}',
        )
        self.record_numbers[edit.name] = max(
            self.record_numbers[edit.name], edit.expected + 1
        )

    # Revisions in force.

    def check_entries(self) -> None:
        """Check every entry instance periodically."""
        self.world.schedule(0.1, self.check_entries)
        for name in self.cluster.entries:
            self.check_entry(name)

    def check_entry(self, name: str) -> None:
        """Check the revision in force on one entry instance.

        It must not go back. Unless the instance was disturbed, it must
        include all that was accepted over ``MAX_ACTIVATION_DELAY_S`` ago.
        """
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
                    f' {delay_s:.1f} s after it was accepted or the instance'
                    ' became undisturbed',
                )

    def check_revision_order(self, name: str, revision_in_force: int) -> None:
        """Check that the revision in force never goes back.

        Nor may it after a restart, once there is a revision in force again.
        """
        if not revision_in_force:
            return
        previous_revision = self.last_revisions.get(name)
        if previous_revision is None:
            previous_revision = self.revisions_before_kill.pop(name, 0)
            self.world.facts['restarts_checked'] += 1
        self.world.check(
            revision_in_force >= previous_revision,
            f'{name}: revision {revision_in_force} in force after'
            f' {previous_revision}',
        )
        self.last_revisions[name] = revision_in_force

    def is_undisturbed(self, node) -> bool:
        """Return whether no fault keeps an entry instance from activating.

        It must be past its startup, no domain cut off, no entry instance of
        its domain frozen, and a control replica alive and not frozen.
        """
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
        """Check that all entry instances have the newest revision in force.

        The one that knows only schema 1 of client accounts must, too.
        """
        self.world.check(self.accepted_s, 'nothing was accepted')
        newest_revision = max(self.accepted_s)
        for name in self.cluster.entries:
            record_store = self.cluster.nodes[name].process._record_store
            self.world.check(
                record_store.revision_in_force >= newest_revision,
                f'{name}: revision {record_store.revision_in_force} is in'
                f' force, expected {newest_revision}',
            )
        self.check_old_schema_entry()

    def check_old_schema_entry(self) -> None:
        """Check that an old instance keeps records that it can't parse."""
        old_store = self.cluster.nodes[
            self.old_schema_entry
        ].process._record_store
        current_store = self.cluster.nodes[
            self.cluster.entries[0]
        ].process._record_store
        self.world.check(
            old_store.records == current_store.records,
            'the old instance has other records than a current one',
        )
        unknown_count = sum(
            needs_account_schema_2(record.content)
            for record in old_store.records.values()
        )
        self.world.check(
            old_store.view.unknown_schemas == unknown_count,
            f'the old instance reports {old_store.view.unknown_schemas}'
            f' records of unknown schema, expected {unknown_count}',
        )


def needs_account_schema_2(content: bytes) -> bool:
    """Return whether a record is an account that needs schema 2 support.

    Only accounts that the simulated operators change are considered, not
    those of the initial configuration, which have schema 2 as well.
    """
    return b'"schema": 2' in content and b'account-' not in content


def parse_without_account_schema_2(content: bytes):
    """Parse a record as a release that lacks account schema 2.

    :param content: the record
    :returns: the parsed record
    :raises errors.UnknownSchemaError: for accounts of schema 2
    """
    if needs_account_schema_2(content):
        raise errors.UnknownSchemaError('record: schema: expected one of 1')
    return records.parse(content)


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of all random draws
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof(
        'configuration', seed, steps, ConfigurationProof
    )
