"""Run a workload on the simulated processes under drawn faults."""

import collections.abc

from bambooring.dispatch import messages as dispatch
from bambooring_core.dispatch import messages as wire
from proofs import cluster as cluster_module
from proofs import exchanges
from proofs import world as world_module

Callback = collections.abc.Callable[[], None]


class Scenario:
    """Start a cluster, work under faults, heal, settle and check."""

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
        """Make the processes to run on."""
        return cluster_module.Cluster(self.world)

    def run(self, steps: int) -> None:
        """Run the scenario."""
        self.cluster.start_all()
        self.cluster.network.repeat_probability = self.REPEAT_PROBABILITY
        self.cluster.network.delay_probability = self.DELAY_PROBABILITY
        self.world.schedule(self.LOAD_INTERVAL_S, self._tick)
        self.world.schedule(1.0, self._draw_fault)
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
        """Do one piece of work."""

    def check_final_state(self) -> None:
        """Check what must hold at the end."""

    def get_faults(self) -> list[Callback]:
        """Return the faults to draw from."""
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

    def _draw_fault(self) -> None:
        """Bring about one fault or two."""
        if not self.is_injecting_faults:
            return
        rng = self.world.rng
        self.world.schedule(
            rng.uniform(*self.FAULT_INTERVAL_RANGE_S), self._draw_fault
        )
        for _ in range(rng.choice((1, 1, 2))):
            rng.choice(self.get_faults())()

    def send_chat(self, body: bytes) -> exchanges.Exchange | None:
        """Send a chat request through some entry instance."""
        live = self.cluster.get_live_entries()
        if not live:
            return None
        return self.cluster.send(
            self.world.rng.choice(live),
            path='/v1/chat/completions',
            body=body,
        )


def call_on_end(exchange: exchanges.Exchange, hear: Callback) -> None:
    """Call a function once an exchange has ended."""
    if exchange.end_event is not None:
        hear()
        return
    outer = exchange.on_end

    def end() -> None:
        outer()
        hear()

    exchange.on_end = end


def is_not_run(exchange: exchanges.Exchange) -> bool:
    """Tell whether an exchange was refused as not run."""
    return (
        isinstance(exchange.end_event, dispatch.Failure)
        and exchange.end_event.outcome is wire.Outcome.NOT_RUN
    )
