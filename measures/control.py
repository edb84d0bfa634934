"""Measure control traffic and CPU time per node as the cluster grows.

The real processes run in simulated time. Bytes and messages are those of the
real frames; CPU time is that of this process, divided by the nodes.
"""

import pathlib
import statistics
import time

from bambooring_core import const
from measures import report
from proofs import cluster as cluster_module
from proofs import declarations
from proofs import world as world_module

ENTRY_COUNTS = (6, 18, 48)
TARGETS_PER_ENTRY_RATIO = 660 / 400
WARM_UP_S = 6.0
DURATION_S = 4.0
HEARTBEAT_BYTES = 36
CHANGE_COUNT = 3

MAX_ENTRY_BYTES_PER_S = 17_000
MAX_CORE_RATIO = 0.026
MAX_IN_FORCE_S = 4.0


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure control traffic and CPU time at several cluster sizes.

    :param seed: random seed of the simulation
    :param scale: factor of the numbers of entry instances
    :param plot: file to plot the bytes per second and node to, if any
    :returns: the report
    """
    figures: dict[str, float] = {}
    entry_counts = [int(entry_count * scale) for entry_count in ENTRY_COUNTS]
    for entry_count in entry_counts:
        figures.update(_measure_cluster(entry_count, seed))
    largest = entry_counts[-1]
    bytes_s_per_entry = (
        figures[f'entry_bytes_s_at_{largest}']
        - figures[f'entry_bytes_s_at_{entry_counts[-2]}']
    ) / (largest - entry_counts[-2])
    figures['entry_bytes_s_per_entry'] = round(bytes_s_per_entry, 1)
    if plot is not None:
        _plot_traffic(entry_counts, figures, plot)
    return report.Report(
        name='control',
        seed=seed,
        figures=figures,
        thresholds=[
            report.Threshold(
                figure=f'entry_bytes_s_at_{largest}',
                at_most=MAX_ENTRY_BYTES_PER_S,
            ),
            report.Threshold(
                figure=f'core_share_at_{largest}', at_most=MAX_CORE_RATIO
            ),
            report.Threshold(
                figure=f'in_force_s_at_{largest}', at_most=MAX_IN_FORCE_S
            ),
        ],
    )


def _measure_cluster(entry_count: int, seed: int) -> dict[str, float]:
    """Run a cluster with this many entry instances and return its figures."""
    world = world_module.World(seed)
    entries_per_domain = entry_count // 3
    cluster = cluster_module.Cluster(
        world,
        entries_per_domain=entries_per_domain,
        chat_targets_per_domain=max(
            1, round(entries_per_domain * TARGETS_PER_ENTRY_RATIO * 0.8)
        ),
        http_targets_per_domain=max(
            1, round(entries_per_domain * TARGETS_PER_ENTRY_RATIO * 0.2)
        ),
    )
    cluster.start_all()
    world.run_for(WARM_UP_S)
    network = cluster.network
    network.sent_bytes.clear()
    start = time.process_time()
    world.run_for(DURATION_S)
    cpu_s = time.process_time() - start
    node_counts = {
        'entry': len(cluster.entries),
        'agent': len(cluster.agents),
        'control': len(cluster.controls),
    }
    figures = {
        f'{role}_bytes_s_at_{entry_count}': round(
            network.sent_bytes[role] / DURATION_S / node_count
            + _compute_heartbeat_bytes_per_s(cluster, role)
        )
        for role, node_count in node_counts.items()
    }
    total_node_count = len(cluster.nodes)
    figures[f'core_share_at_{entry_count}'] = round(
        cpu_s / DURATION_S / total_node_count, 4
    )
    figures[f'targets_at_{entry_count}'] = len(cluster.agents)
    figures[f'in_force_s_at_{entry_count}'] = round(
        _measure_longest_change_s(cluster), 3
    )
    return figures


def _compute_heartbeat_bytes_per_s(
    cluster: cluster_module.Cluster, role: str
) -> float:
    """Return the heartbeat bytes per second of a node of a role.

    The simulated network sends no heartbeats, so they are computed from the
    number of links.
    """
    link_counts = [
        len(hub.links)
        for hub in cluster.network.hubs.values()
        if hub.identity.role == role
    ]
    return statistics.mean(link_counts) * (
        HEARTBEAT_BYTES / const.HEARTBEAT_INTERVAL_S
    )


def _measure_longest_change_s(cluster: cluster_module.Cluster) -> float:
    """Return the longest time until a change is in force on all entries."""
    longest_s = 0.0
    for number in range(CHANGE_COUNT):
        content = {
            'kind': 'client_account',
            'name': f'mill-{number}',
            'schema': 1,
            'key_digest': f'{number:064x}',
        }
        edit = declarations.make_edit(content, 0)
        answers = cluster.submit_change(f'change-{number}', [edit])
        start = cluster.world.now
        while not _is_in_force_everywhere(cluster, answers):
            cluster.world.run_for(0.01)
        longest_s = max(longest_s, cluster.world.now - start)
    return longest_s


def _is_in_force_everywhere(
    cluster: cluster_module.Cluster, answers: list
) -> bool:
    if not answers or answers[0] is None:
        return False
    return all(
        cluster.nodes[name].process.get_view().revision >= answers[0].revision
        for name in cluster.entries
    )


def _plot_traffic(
    entry_counts: list[int], figures: dict[str, float], path: pathlib.Path
) -> None:
    """Plot the bytes per second of each role over the entry instances."""
    from matplotlib import pyplot

    for role in ('entry', 'agent', 'control'):
        values = [
            figures[f'{role}_bytes_s_at_{entry_count}']
            for entry_count in entry_counts
        ]
        pyplot.plot(entry_counts, values, marker='o', label=role)
    pyplot.axhline(MAX_ENTRY_BYTES_PER_S, color='grey', label='limit')
    pyplot.xlabel('entry instances')
    pyplot.ylabel('bytes per second and node')
    pyplot.legend()
    pyplot.savefig(path)
