"""Measure what control costs a node as the cluster grows.

The real processes run in simulated time; bytes and messages are those of
the real frames, processor time is this process's own, spread over nodes.
"""

import pathlib
import statistics
import time

from bambooring_core import const
from measures import report
from proofs import cluster as cluster_module
from proofs import declarations
from proofs import world as world_module

SIZES = (6, 18, 48)
TARGETS_PER_ENTRY = 660 / 400
SETTLE_S = 6.0
SPAN_S = 4.0
HEARTBEAT_BYTES = 36
CHANGES = 3

BYTES_PER_S = 17_000
CORE_SHARE = 0.026
IN_FORCE_S = 4.0


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure control traffic and processor time at several sizes.

    :param seed: seeds the run
    :param scale: multiplies the sizes
    :param plot: where to draw the bytes a node, if wanted
    :returns: the report
    """
    figures: dict[str, float] = {}
    sizes = [int(size * scale) for size in SIZES]
    for size in sizes:
        figures.update(_measure_size(size, seed))
    largest = sizes[-1]
    slope = (
        figures[f'entry_bytes_s_at_{largest}']
        - figures[f'entry_bytes_s_at_{sizes[-2]}']
    ) / (largest - sizes[-2])
    figures['entry_bytes_s_per_entry'] = round(slope, 1)
    if plot is not None:
        _draw(sizes, figures, plot)
    return report.Report(
        name='control',
        seed=seed,
        figures=figures,
        thresholds=[
            report.Threshold(
                figure=f'entry_bytes_s_at_{largest}', at_most=BYTES_PER_S
            ),
            report.Threshold(
                figure=f'core_share_at_{largest}', at_most=CORE_SHARE
            ),
            report.Threshold(
                figure=f'in_force_s_at_{largest}', at_most=IN_FORCE_S
            ),
        ],
    )


def _measure_size(size: int, seed: int) -> dict[str, float]:
    """Run one size and return its figures."""
    world = world_module.World(seed)
    per_domain = size // 3
    cluster = cluster_module.Cluster(
        world,
        entries_per_domain=per_domain,
        chat_targets_per_domain=max(
            1, round(per_domain * TARGETS_PER_ENTRY * 0.8)
        ),
        http_targets_per_domain=max(
            1, round(per_domain * TARGETS_PER_ENTRY * 0.2)
        ),
    )
    cluster.start_all()
    world.run_for(SETTLE_S)
    network = cluster.network
    network.sent_bytes.clear()
    start = time.process_time()
    world.run_for(SPAN_S)
    used_s = time.process_time() - start
    count = {
        'entry': len(cluster.entries),
        'agent': len(cluster.agents),
        'control': len(cluster.controls),
    }
    figures = {
        f'{role}_bytes_s_at_{size}': round(
            network.sent_bytes[role] / SPAN_S / number
            + _count_heartbeats(cluster, role)
        )
        for role, number in count.items()
    }
    nodes = len(cluster.nodes)
    figures[f'core_share_at_{size}'] = round(used_s / SPAN_S / nodes, 4)
    figures[f'targets_at_{size}'] = len(cluster.agents)
    figures[f'in_force_s_at_{size}'] = round(_time_change(cluster), 3)
    return figures


def _count_heartbeats(cluster: cluster_module.Cluster, role: str) -> float:
    """Return the heartbeats' bytes a second of a node of one role."""
    links = [
        len(hub.links)
        for hub in cluster.network.hubs.values()
        if hub.identity.role == role
    ]
    return statistics.mean(links) * (
        HEARTBEAT_BYTES / const.HEARTBEAT_INTERVAL_S
    )


def _time_change(cluster: cluster_module.Cluster) -> float:
    """Return the longest time until a change is in force everywhere."""
    longest = 0.0
    for number in range(CHANGES):
        content = {
            'kind': 'client_account',
            'name': f'mill-{number}',
            'schema': 1,
            'key_digest': f'{number:064x}',
        }
        edit = declarations.make_edit(content, 0)
        answers = cluster.submit_change(f'change-{number}', [edit])
        start = cluster.world.now
        while not _is_everywhere(cluster, answers):
            cluster.world.run_for(0.01)
        longest = max(longest, cluster.world.now - start)
    return longest


def _is_everywhere(cluster: cluster_module.Cluster, answers: list) -> bool:
    if not answers or answers[0] is None:
        return False
    return all(
        cluster.nodes[name].process.get_view().revision >= answers[0].revision
        for name in cluster.entries
    )


def _draw(
    sizes: list[int], figures: dict[str, float], path: pathlib.Path
) -> None:
    """Draw the bytes a second of each role over the number of entries."""
    from matplotlib import pyplot

    for role in ('entry', 'agent', 'control'):
        values = [figures[f'{role}_bytes_s_at_{size}'] for size in sizes]
        pyplot.plot(sizes, values, marker='o', label=role)
    pyplot.axhline(BYTES_PER_S, color='grey', label='limit')
    pyplot.xlabel('entry instances')
    pyplot.ylabel('bytes a second a node')
    pyplot.legend()
    pyplot.savefig(path)
