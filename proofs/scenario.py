"""Run a workload on the simulated processes under drawn faults."""

import collections.abc

from bambooring.dispatch import messages as dispatch
from bambooring_core.dispatch import messages as wire
from proofs import cluster as cluster_module
from proofs import exchanges
from proofs import world as world_module

Fault = collections.abc.Callable[[], None]


class Scenario:
    """Start a cluster, work under faults, heal, settle and check."""

    WORK_S = 0.25
    FAULTS_S = (0.2, 3.0)
    SETTLE_S = 60.0
    REPEAT_SHARE = 0.02
    LATE_SHARE = 0.02

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.cluster = self.make_cluster()
        self.faults_on = True

    def make_cluster(self) -> cluster_module.Cluster:
        """Make the processes to run on."""
        return cluster_module.Cluster(self.world)

    def run(self, steps: int) -> None:
        """Run the scenario."""
        self.cluster.start_all()
        self.cluster.network.repeat_share = self.REPEAT_SHARE
        self.cluster.network.late_share = self.LATE_SHARE
        self.world.schedule(self.WORK_S, self._work)
        self.world.schedule(1.0, self._draw_fault)
        self.world.run_steps(steps)
        self.faults_on = False
        self.cluster.heal()
        self.world.run_for(self.SETTLE_S)
        self.check_end()

    def _work(self) -> None:
        if self.faults_on:
            self.world.schedule(self.WORK_S, self._work)
            self.work()

    def work(self) -> None:
        """Do one piece of work."""

    def check_end(self) -> None:
        """Check what must hold at the end."""

    def get_faults(self) -> list[Fault]:
        """Return the faults to draw from."""
        cluster = self.cluster
        return [
            cluster.fault_break,
            cluster.fault_silence,
            cluster.fault_cut,
            lambda: cluster.fault_kill(cluster.entries),
            lambda: cluster.fault_kill(cluster.controls),
            lambda: cluster.fault_kill(cluster.agents),
            lambda: cluster.fault_freeze(list(cluster.nodes)),
            lambda: cluster.fault_target(cluster.agents),
        ]

    def _draw_fault(self) -> None:
        """Bring about one fault or two."""
        if not self.faults_on:
            return
        rng = self.world.rng
        self.world.schedule(rng.uniform(*self.FAULTS_S), self._draw_fault)
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


def hear_end(exchange: exchanges.Exchange, hear: Fault) -> None:
    """Call a function once an exchange has ended."""
    if exchange.end is not None:
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
        isinstance(exchange.end, dispatch.Failure)
        and exchange.end.outcome is wire.Outcome.NOT_RUN
    )
