"""Run a workload on a simulated cluster while random faults are injected."""

import collections.abc

from bambooring.dispatch import messages as dispatch
from bambooring_core.dispatch import messages as wire
from proofs import cluster as cluster_module
from proofs import exchanges
from proofs import world as world_module

Callback = collections.abc.Callable[[], None]


class Scenario:
    """Base of the proofs that run a cluster under load and faults.

    Under faults, load is generated at an interval. Then all faults are
    repaired, no more load is generated, and the final state is checked after
    ``RECOVERY_S``.
    """

    LOAD_INTERVAL_S = 0.25
    FAULT_INTERVAL_RANGE_S = (0.2, 3.0)
    RECOVERY_S = 60.0
    REPEAT_PROBABILITY = 0.02
    DELAY_PROBABILITY = 0.02

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.cluster = self.make_cluster()
        self.is_injecting_faults = True

    def make_cluster(self) -> cluster_module.Cluster:
        """Return the cluster to run, not started yet."""
        return cluster_module.Cluster(self.world)

    def run(self, steps: int) -> None:
        """Run a number of events under faults, then recover and check."""
        self.cluster.start_all()
        self.cluster.network.repeat_probability = self.REPEAT_PROBABILITY
        self.cluster.network.delay_probability = self.DELAY_PROBABILITY
        self.world.schedule(self.LOAD_INTERVAL_S, self._tick)
        self.world.schedule(1.0, self._inject_faults)
        self.world.run_steps(steps)
        self.is_injecting_faults = False
        self.cluster.heal()
        self.world.run_for(self.RECOVERY_S)
        self.check_final_state()

    def _tick(self) -> None:
        if self.is_injecting_faults:
            self.world.schedule(self.LOAD_INTERVAL_S, self._tick)
            self.generate_load()

    def generate_load(self) -> None:
        """Send the requests of one interval; called while faults occur."""

    def check_final_state(self) -> None:
        """Check what must hold after the recovery."""

    def get_faults(self) -> list[Callback]:
        """Return the faults to choose from, as functions that inject one."""
        cluster = self.cluster
        return [
            cluster.inject_link_break,
            cluster.inject_link_silence,
            cluster.inject_domain_cut,
            lambda: cluster.inject_kill(cluster.entries),
            lambda: cluster.inject_kill(cluster.controls),
            lambda: cluster.inject_kill(cluster.agents),
            lambda: cluster.inject_freeze(list(cluster.nodes)),
            lambda: cluster.inject_target_crash(cluster.agents),
        ]

    def _inject_faults(self) -> None:
        """Inject one or two random faults, and schedule the next ones."""
        if not self.is_injecting_faults:
            return
        rng = self.world.rng
        self.world.schedule(
            rng.uniform(*self.FAULT_INTERVAL_RANGE_S), self._inject_faults
        )
        for _ in range(rng.choice((1, 1, 2))):
            rng.choice(self.get_faults())()

    def send_chat(self, body: bytes) -> exchanges.Exchange | None:
        """Send a chat request through a random entry instance.

        :param body: the request body
        :returns: its exchange, or None if no entry instance runs
        """
        live_entries = self.cluster.get_live_entries()
        if not live_entries:
            return None
        return self.cluster.send(
            self.world.rng.choice(live_entries),
            path='/v1/chat/completions',
            body=body,
        )


def call_on_end(exchange: exchanges.Exchange, callback: Callback) -> None:
    """Call back once an exchange has ended, at once if it has already."""
    if exchange.end_event is not None:
        callback()
        return
    previous_callback = exchange.on_end

    def run_callbacks() -> None:
        previous_callback()
        callback()

    exchange.on_end = run_callbacks


def is_not_run(exchange: exchanges.Exchange) -> bool:
    """Return whether a request was refused and will certainly never run."""
    return (
        isinstance(exchange.end_event, dispatch.Failure)
        and exchange.end_event.outcome is wire.Outcome.NOT_RUN
    )
