"""Prove that evacuated failure domains get no new requests.

Operators evacuate failure domains and withdraw that, and resend each order
until it is acknowledged, to any replica. Meanwhile processes restart and
freeze, links break or stop delivering, and failure domains are cut off.
"""

import json

from bambooring.evacuation import messages
from bambooring_core import codec
from proofs import declarations
from proofs import engines
from proofs import scenario
from proofs import world as world_module

DEFAULT_STEPS = 60_000
# From when an order is acknowledged, or from when the entry instance is
# undisturbed if that is later, until no request is sent against it.
MAX_DELAY_S = 5.0
# From a fault until the links that it ended, or that it silenced, are up
# again.
CONTACT_S = 4.0
RESTART_DELAY_S = 0.5
ANSWER_WAIT_S = 2.0
MAX_SENDS = 8


class EvacuationProof(scenario.Scenario):
    """Order evacuations, and check where requests run.

    ``evacuated_since_s`` is when the order for each evacuated failure domain
    was acknowledged. ``disturbed_s`` is the time of the last fault that may
    keep an entry instance from the control replicas, ``submitted_s`` has the
    times at which requests were sent, by request id.
    """

    LOAD_INTERVAL_S = 0.05
    FAULT_INTERVAL_RANGE_S = (0.5, 12.0)
    RECOVERY_S = 30.0

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.evacuated_since_s: dict[str, float] = {}
        self.disturbed_s = 0.0
        self.submitted_s: dict[str, float] = {}
        self.request_count = 0
        self.cluster.execution_listeners.append(self.check_execution)
        self.world.schedule(2.0, self.order)
        self.world.schedule(0.1, self.watch_faults)

    def watch_faults(self) -> None:
        """Note while an entry instance may be cut off from the replicas."""
        self.world.schedule(0.1, self.watch_faults)
        nodes = self.cluster.nodes.values()
        if self.cluster.network.cut_domain_pairs or any(
            node.is_frozen or not node.is_alive for node in nodes
        ):
            self.disturbed_s = self.world.now

    def get_faults(self) -> list[scenario.Callback]:
        """Return faults of processes and of links."""
        cluster = self.cluster
        return [
            cluster.inject_link_break,
            cluster.inject_link_silence,
            lambda: cluster.inject_domain_cut(3.0),
            lambda: cluster.inject_kill(cluster.entries),
            lambda: cluster.inject_kill(cluster.controls),
            lambda: cluster.inject_freeze(cluster.controls),
            lambda: cluster.inject_freeze(cluster.entries),
        ]

    # Operators.

    def order(self) -> None:
        """Evacuate a failure domain, or withdraw that; the next one later."""
        domain = self.world.rng.choice(self.cluster.domains)
        is_evacuated = domain not in self.evacuated_since_s
        self.evacuated_since_s.pop(domain, None)
        self.send_order(domain, is_evacuated, MAX_SENDS)

    def send_order(
        self, domain: str, is_evacuated: bool, sends_left: int
    ) -> None:
        """Send an order to a replica, and handle the reply later.

        :param domain: the failure domain
        :param is_evacuated: whether to evacuate it
        :param sends_left: the number of requests permitted, with this one
        """
        replies: list[messages.Ordered | None] = []
        node = self.cluster.nodes[self.world.rng.choice(self.cluster.controls)]

        def handle_reply(data: bytes | None) -> None:
            replies.append(codec.unpack(data) if data else None)
            if is_evacuated and is_carried_out(replies):
                self.evacuated_since_s.setdefault(domain, self.world.now)

        if node.is_alive and node.hub is not None:
            process = node.process
            evacuations = process._state_machine.evacuation.evacuations
            order = messages.Order(
                failure_domain=domain,
                is_evacuated=is_evacuated,
                revision=evacuations.revision,
            )
            node.hub.reactor.post(
                lambda: process.submit(
                    order, ANSWER_WAIT_S - 0.2, handle_reply
                )
            )
        self.world.schedule(
            ANSWER_WAIT_S,
            lambda: self.follow_up(domain, is_evacuated, replies, sends_left),
        )

    def follow_up(
        self,
        domain: str,
        is_evacuated: bool,
        replies: list[messages.Ordered | None],
        sends_left: int,
    ) -> None:
        """Resend an order that isn't carried out, else give the next one."""
        if replies and replies[0] is not None:
            self.world.facts[replies[0].outcome.value] += 1
        if sends_left > 1 and not is_carried_out(replies):
            self.world.facts['sent_again'] += 1
            self.send_order(domain, is_evacuated, sends_left - 1)
            return
        if self.is_injecting_faults:
            self.world.schedule(self.world.rng.uniform(2.0, 10.0), self.order)

    # Requests.

    def generate_load(self) -> None:
        """Send a chat request through an entry instance."""
        self.request_count += 1
        message = {'role': 'user', 'content': f'ask {self.request_count}'}
        body = {'model': declarations.CHAT_SERVICE, 'messages': [message]}
        exchange = self.send_chat(json.dumps(body).encode())
        if exchange is not None:
            self.submitted_s[exchange.request_id] = self.world.now

    def check_execution(self, execution: engines.Execution) -> None:
        """Check that no late request runs in an evacuated failure domain.

        A target may still start requests that waited there before.
        """
        domain = self.cluster.nodes[execution.target].domain
        self.world.facts['runs'] += 1
        evacuated_since_s = self.evacuated_since_s.get(domain)
        if evacuated_since_s is None:
            return
        self.world.facts['runs_while_evacuated'] += 1
        in_force_s = max(
            evacuated_since_s + MAX_DELAY_S, self.disturbed_s + CONTACT_S
        )
        submitted_s = self.submitted_s[execution.request_id]
        self.world.check(
            submitted_s <= in_force_s,
            f'{execution.request_id} was sent to {execution.target}'
            f' {submitted_s - evacuated_since_s:.2f} s after {domain} was'
            ' evacuated',
        )

    def check_final_state(self) -> None:
        """Check that all processes agree on what is evacuated.

        An entry instance that has just restarted must know it too.
        """
        self.world.check(self.world.facts['changed'], 'no order was changed')
        self.cluster.kill(self.cluster.entries[0], RESTART_DELAY_S)
        self.world.run_for(RESTART_DELAY_S + CONTACT_S)
        states = {
            name: self.cluster.nodes[
                name
            ].process._state_machine.evacuation.evacuations
            for name in self.cluster.controls
        }
        newest = max(states.values(), key=lambda state: state.revision)
        for name, state in states.items():
            self.world.check(
                state == newest, f'{name}: {state}, others {newest}'
            )
        for name in self.cluster.entries:
            process = self.cluster.nodes[name].process
            self.world.check(
                process._evacuations.revision == newest.revision,
                f'{name}: revision {process._evacuations.revision}, expected'
                f' {newest.revision}',
            )
            self.world.check(
                process._router.evacuated_domains
                == frozenset(newest.failure_domains),
                f'{name}: leaves out {process._router.evacuated_domains}',
            )


def is_carried_out(replies: list[messages.Ordered | None]) -> bool:
    """Return whether a reply says that an order holds."""
    return any(
        reply is not None
        and reply.outcome
        in (messages.Outcome.CHANGED, messages.Outcome.REPEATED)
        for reply in replies
    )


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of all random draws
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof('evacuation', seed, steps, EvacuationProof)
