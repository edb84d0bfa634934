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
IN_FORCE_S = 4.0
GRACE_S = 6.0
NAMES = ('herning-mill', 'vejle-mill', 'ikast-mill')
SEND_S = 2.0
SENDS = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class Order:
    """Hold one operator's change."""

    change: str
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
        self.orders: dict[str, Order] = {}
        self.numbers = dict.fromkeys(NAMES, 0)
        self.accepted_at: dict[int, float] = {}
        self.winners: dict[tuple[str, int], str] = {}
        self.in_force: dict[str, int] = {}
        self.before_death: dict[str, int] = {}
        self.calm_since: dict[str, float] = {}
        old = self.cluster.entries[1]
        self.cluster.record_parsers[old] = parse_as_before
        self.old = old
        self.world.schedule(8.5, self.watch)

    def get_faults(self) -> list[scenario.Callback]:
        """Return faults that leave each domain an entry instance."""
        cluster = self.cluster
        return [
            cluster.inject_link_break,
            cluster.inject_link_silence,
            lambda: cluster.inject_domain_cut(5.0),
            self.kill_entry,
            self.kill_entry,
            self.split_domain,
            self.split_domain,
            lambda: cluster.inject_kill(cluster.controls),
            lambda: cluster.inject_freeze(cluster.controls),
        ]

    def kill_entry(self) -> None:
        """Kill an entry whose neighbour has run for a while."""
        name = self.world.rng.choice(self.cluster.entries)
        node = self.cluster.nodes[name]
        others = [
            self.cluster.nodes[other]
            for other in self.cluster.entries
            if other != name
            and self.cluster.nodes[other].domain == node.domain
        ]
        if not node.is_alive or not all(map(self.is_settled, others)):
            return
        self.world.record_fault('kill', name)
        self.before_death[name] = node.process._record_store.revision_in_force
        self.in_force.pop(name, None)
        self.cluster.kill(name, self.world.rng.uniform(0.2, 4.0))

    def split_domain(self) -> None:
        """Kill an entry inside a cut-off domain, its neighbour behind.

        The neighbour's links go silent first, so that it misses what comes
        while nobody has noticed yet.
        """
        domain = self.world.rng.choice(self.cluster.domains)
        here = [
            name
            for name in self.cluster.entries
            if self.cluster.nodes[name].domain == domain
        ]
        if not all(self.is_settled(self.cluster.nodes[name]) for name in here):
            return
        first, second = self.world.rng.sample(here, 2)
        self.world.record_fault('split', f'{first}, {second} behind')
        hub = self.cluster.nodes[second].hub
        assert hub is not None
        for link in hub.links:
            self.cluster.network.silence(link)
        delay_s = self.world.rng.uniform(0.4, 1.2)
        self.world.schedule(delay_s, lambda: self.cut_and_kill(domain, first))

    def cut_and_kill(self, domain: str, name: str) -> None:
        """Cut a domain off, without its replica, and restart an entry."""
        node = self.cluster.nodes[name]
        if not node.is_alive:
            return
        self.cluster.cut_domain(domain, 6.0)
        for replica in self.cluster.controls:
            if self.cluster.nodes[replica].domain == domain:
                self.cluster.kill(replica, 8.0)
        self.before_death[name] = node.process._record_store.revision_in_force
        self.in_force.pop(name, None)
        self.cluster.kill(name, 0.3)

    def is_settled(self, node) -> bool:
        """Tell whether a node has run and served for a while."""
        if (
            not node.is_alive
            or node.process._record_store.revision_in_force == 0
        ):
            return False
        return self.world.now > node.started_s + GRACE_S

    # Operators.

    def generate_load(self) -> None:
        """Let two operators change the same record at the same number."""
        name = self.world.rng.choice(NAMES)
        number = self.numbers[name]
        for operator in ('one', 'two'):
            change = f'{name}-{number}-{operator}-{len(self.orders)}'
            order = Order(
                change=change,
                edits=[self.make_edit(name, number, operator)],
            )
            self.orders[change] = order
            self.send(order, SENDS)

    def make_edit(
        self, name: str, number: int, operator: str
    ) -> messages.Edit:
        """Make a record, of schema 1 or 2 by chance."""
        digest = settings.compute_digest(f'{name}-{number}-{operator}')
        content = {'kind': 'client_account', 'name': name}
        if self.world.rng.random() < 0.5:
            content |= {'schema': 1, 'key_digest': digest}
        else:
            content |= {'schema': 2, 'keys': [{'digest': digest}]}
        return declarations.make_edit(content, number)

    def send(self, order: Order, sends: int) -> None:
        """Send a change to some replica; again after a lost answer."""
        answers = self.cluster.submit_change(
            order.change, order.edits, timeout_s=SEND_S - 0.2
        )
        self.world.schedule(SEND_S, lambda: self.hear(order, answers, sends))

    def hear(
        self,
        order: Order,
        answers: list[messages.ChangeAnswer | None],
        sends: int,
    ) -> None:
        """Judge an answer; ask again to see that it stays the same."""
        answer = answers[0] if answers else None
        if answer is not None:
            self.note_answer(order, answer)
        if sends > 1 and (answer is None or self.world.rng.random() < 0.2):
            self.world.facts['sent_again'] += 1
            self.send(order, sends - 1)

    def note_answer(self, order: Order, answer: messages.ChangeAnswer) -> None:
        """Check an answer against the others."""
        if order.answers:
            self.world.check(
                order.answers[0] == answer,
                f'{order.change}: another answer the second time',
            )
            return
        order.answers.append(answer)
        self.world.facts[answer.outcome.value] += 1
        edit = order.edits[0]
        if answer.outcome is not messages.ChangeOutcome.ACCEPTED:
            return
        self.accepted_at.setdefault(answer.revision, self.world.now)
        slot = (edit.name, edit.expected)
        known = self.winners.setdefault(slot, order.change)
        self.world.check(
            known == order.change,
            f'{known} and {order.change} both won {slot}',
        )
        self.numbers[edit.name] = max(
            self.numbers[edit.name], edit.expected + 1
        )

    # What is in force.

    def watch(self) -> None:
        """Look at every entry instance now and then."""
        self.world.schedule(0.1, self.watch)
        for name in self.cluster.entries:
            self.look(name)

    def look(self, name: str) -> None:
        """Check one entry instance."""
        node = self.cluster.nodes[name]
        if not node.is_alive:
            self.calm_since.pop(name, None)
            return
        in_force = node.process._record_store.revision_in_force
        self.check_order(name, in_force)
        if not self.is_calm(node):
            self.calm_since.pop(name, None)
            return
        since = self.calm_since.setdefault(name, self.world.now)
        for revision, at in self.accepted_at.items():
            if revision > in_force:
                late = self.world.now - max(at, since)
                self.world.check(
                    late <= IN_FORCE_S,
                    f'{name}: revision {revision} is not in force'
                    f' {late:.1f} s after it was accepted',
                )

    def check_order(self, name: str, in_force: int) -> None:
        """Check that the revision in force never goes back."""
        if not in_force:
            return
        before = self.in_force.get(name)
        if before is None:
            before = self.before_death.pop(name, 0)
            self.world.facts['restarts_checked'] += 1
        self.world.check(
            in_force >= before,
            f'{name}: {in_force} in force after {before}',
        )
        self.in_force[name] = in_force

    def is_calm(self, node) -> bool:
        """Tell whether an instance and its domain can be reached."""
        if self.world.now < node.started_s + GRACE_S:
            return False
        if self.cluster.network.cut_domain_pairs:
            return False
        domain = [
            self.cluster.nodes[name]
            for name in self.cluster.entries
            if self.cluster.nodes[name].domain == node.domain
        ]
        return not any(other.is_frozen for other in domain) and any(
            self.cluster.nodes[name].is_alive
            and not self.cluster.nodes[name].is_frozen
            for name in self.cluster.controls
        )

    def check_final_state(self) -> None:
        """Require that all agree on the newest revision, old ones too."""
        self.world.check(self.accepted_at, 'nothing was accepted')
        newest = max(self.accepted_at)
        for name in self.cluster.entries:
            record_store = self.cluster.nodes[name].process._record_store
            self.world.check(
                record_store.revision_in_force >= newest,
                f'{name}: {record_store.revision_in_force} in force, not {newest}',
            )
        self.check_old()

    def check_old(self) -> None:
        """Require that an old instance relays what it can't read."""
        old = self.cluster.nodes[self.old].process._record_store
        new = self.cluster.nodes[self.cluster.entries[0]].process._record_store
        self.world.check(
            old.records == new.records, 'an old instance changed a record'
        )
        unknown = sum(
            is_new_schema(record.content) for record in old.records.values()
        )
        self.world.check(
            old.view.unknown_schemas == unknown,
            f'the old instance reports {old.view.unknown_schemas} records'
            f' it does not know, not {unknown}',
        )


def is_new_schema(content: bytes) -> bool:
    """Tell whether an old instance can't read a record of the race."""
    return b'"schema": 2' in content and b'account-' not in content


def parse_as_before(content: bytes):
    """Parse a record as software did before account schema 2."""
    if is_new_schema(content):
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
