"""Run soak tests of the real processes, each with the faults of one seed.

The same seed draws the same faults. How the processes react also depends on
the timing of the machine, so a seed that failed is kept and run again.
"""

import json
import pathlib
import random
import shutil
import sys
import tempfile
import time

import click

from soak import cluster as cluster_module
from soak import evacuations
from soak import faults as faults_module
from soak import history as history_module
from soak import operator as operator_module
from soak import route_checks
from soak import routes as routes_module

DEFAULT_DURATION_S = 15.0
# After the repair of all faults, requests must be served again in this time.
RECOVERY_TIMEOUT_S = 12.0
# How long callers run before the first fault, and the length of the window at
# the end of the recovery in which most requests must be served.
_STEADY_S = 2.0
_MIN_SERVED_RATIO = 0.9


def run_seed(
    seed: int, duration_s: float, folder: pathlib.Path, **sizes: int
) -> list[str]:
    """Run the cluster under the faults of one seed and check it.

    Print a report as JSON and write the injected faults to the file ``story``
    and the starts, exits and signals of processes to ``events``.

    :param seed: the seed of the random faults
    :param duration_s: how long faults are injected
    :param folder: the folder of the settings, data and logs of the processes
    :param sizes: numbers of entries, targets or callers that differ from the
        defaults
    :returns: one line for each violated guarantee
    """
    with cluster_module.Cluster(folder, seed, **sizes) as cluster:
        injector = faults_module.FaultInjector(cluster, random.Random(seed))
        draft = operator_module.Draft()
        operator = operator_module.Operator(
            cluster, random.Random(seed + 1), draft
        )
        second_operator = operator_module.Operator(
            cluster, random.Random(seed + 2), draft, is_second=True
        )
        with (
            operator,
            second_operator,
            routes_module.RouteCaller(cluster, random.Random(seed + 3)),
            evacuations.EvacuationOperator(cluster, random.Random(seed + 4)),
        ):
            cluster.wait_ready()
            cluster.start_callers()
            time.sleep(_STEADY_S)
            injector.run(duration_s)
            violations = _wait_for_recovery(cluster)
        operator.read_until_answered()
        cluster.stop_callers()
        violations += list(cluster.history.check())
        violations += list(route_checks.check(cluster.history))
        violations += list(evacuations.check(cluster.history))
        requests = cluster.history.list_requests()
        served = sum(request.status == 200 for request in requests)
    (folder / 'story').write_text('\n'.join(injector.fault_log) + '\n')
    (folder / 'events').write_text('\n'.join(cluster.events) + '\n')
    report = {
        'seed': seed,
        'faults': len(injector.fault_log),
        'requests': len(requests),
        'served': served,
        'runs': len(cluster.history.executions),
        'versions': len(cluster.history.published_policies),
        'reads': len(cluster.history.policy_reads),
        'evacuations': sum(
            evacuation.confirmed_s is not None
            for evacuation in cluster.history.evacuations
        ),
        'broken': violations[:20],
    }
    click.echo(json.dumps(report))
    return violations


def _wait_for_recovery(cluster: cluster_module.Cluster) -> list[str]:
    """Wait for the recovery time, restart processes and check the recovery.

    :returns: one line if too few requests are served, else an empty list
    """
    end_s = time.monotonic() + RECOVERY_TIMEOUT_S
    while time.monotonic() < end_s:
        time.sleep(0.1)
        cluster.restart_exited_processes()
    return check_recovery(cluster.history, end_s - _STEADY_S)


def check_recovery(
    history: history_module.History, start_s: float
) -> list[str]:
    """Check that most requests that were sent after ``start_s`` are served.

    Callers may keep sending requests during the check. Requests on changing
    routes may be refused rightly, so they don't count.

    :returns: one line if too few are served, else an empty list
    """
    recent = [
        request
        for request in history.list_requests()
        if request.sent_s > start_s
        and request.ended_s
        and request.kind != history_module.ROUTE_KIND
    ]
    served = sum(request.status == 200 for request in recent)
    if served >= _MIN_SERVED_RATIO * len(recent) and recent:
        return []
    return [f'not recovered: {served} of {len(recent)} requests served']


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--count', default=1, show_default=True, help='Number of seeds to run.'
)
@click.option('--seconds', default=DEFAULT_DURATION_S, show_default=True)
@click.option('--entries', default=3, show_default=True)
@click.option('--targets', default=6, show_default=True)
@click.option('--callers', default=10, show_default=True)
@click.option('--keep', type=click.Path(path_type=pathlib.Path), default=None)
def main(
    seed: int,
    count: int,
    seconds: float,
    entries: int,
    targets: int,
    callers: int,
    keep: pathlib.Path | None,
) -> None:
    """Run one soak test for each of some consecutive seeds.

    With --keep, the folders of seeds that fail are copied there.
    """
    has_failed = False
    for seed_number in range(seed, seed + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed_number}-'))
        violations = run_seed(
            seed_number,
            seconds,
            folder,
            entries=entries,
            targets=targets,
            callers=callers,
        )
        if violations and keep is not None:
            shutil.copytree(
                folder, keep / str(seed_number), dirs_exist_ok=True
            )
        has_failed = has_failed or bool(violations)
        shutil.rmtree(folder)
    sys.exit(1 if has_failed else 0)


if __name__ == '__main__':
    main()
