"""Measure what one entry and one agent add to calling the target."""

import json
import pathlib
import random
import tempfile

import psutil

from bambooring_core import settings
from measures import load
from measures import report
from standins import caller
from standins import cluster as cluster_module

KEY = 'key-of-the-load'
SERVICE = 'rota-llm'
FIRST_RATE = 27.0
FIRST_SECONDS = 8.0
FIRST_TOKENS = 8
STREAMS = 300
STREAM_TOKENS = 130
ROUNDS = 2
INTERVAL_MS = 36.0
LIMIT_S = 60.0
SETTLED_S = 0.5

ADDED_FIRST_P95_MS = 5.0
GAP_RATIO_P95 = 1.10
ENTRY_TOKENS_PER_S = 6500.0
ENTRY_SHARE = 0.75


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure the path.

    :param seed: seeds the arrivals
    :param scale: multiplies the number of streams
    :param plot: unused
    :returns: the report
    """
    rng = random.Random(seed)
    streams = int(STREAMS * scale)
    with tempfile.TemporaryDirectory(prefix='bambooring-') as folder:
        cluster = cluster_module.Cluster(
            pathlib.Path(folder),
            domains=['rajkot'],
            token_interval_ms=INTERVAL_MS,
        )
        with cluster:
            urls = _start(cluster)
            figures, direct = _measure_first(urls, rng)
            _measure_streams(cluster, urls, streams, figures, direct)
    return report.Report(
        name='path',
        seed=seed,
        figures=figures,
        baselines={'direct': direct},
        targets=[
            report.Target(
                figure='first_token_added_p95_ms',
                at_most=ADDED_FIRST_P95_MS,
            ),
            report.Target(figure='gap_ratio_p95', at_most=GAP_RATIO_P95),
            report.Target(
                figure='entry_tokens_per_core_s',
                at_least=round(ENTRY_TOKENS_PER_S / ENTRY_SHARE),
            ),
            report.Target(figure='streams_whole', at_least=streams),
        ],
    )


def _start(cluster: cluster_module.Cluster) -> dict[str, str]:
    """Start one entry and one agent and return both ways' URLs."""
    cluster.add_control_instances(1)
    cluster.add_entry_instances()
    cluster.wait_leader()
    cluster.add_target(
        'rota-llm-1', service=SERVICE, domain='rajkot', protocol='chat'
    )
    _declare(cluster.folder / 'declarations')
    done = cluster.run_command('apply', str(cluster.folder / 'declarations'))
    if done.returncode:
        raise cluster_module.ClusterError(done.stderr)
    cluster.wait_targets(1)
    direct = cluster.processes['rota-llm-1-engine'].address
    entry = cluster.processes['entry-rajkot-1'].address
    return {
        'bambooring': f'http://{entry}/v1/chat/completions',
        'direct': f'http://{direct}/v1/chat/completions',
    }


def _declare(folder: pathlib.Path) -> None:
    """Write declarations whose limits lie above the load."""
    folder.mkdir()
    account = {
        'kind': 'client_account',
        'name': 'load',
        'schema': 2,
        'keys': [{'digest': settings.compute_digest(KEY)}],
        'limits': {'in_flight': 2000, 'requests_per_s': 2000, 'burst': 2000},
    }
    service = {
        'kind': 'service',
        'name': SERVICE,
        'schema': 1,
        'protocol': 'chat',
    }
    path = folder / 'load.json5'
    path.write_text(json.dumps([account, service]))


def _measure_first(
    urls: dict[str, str], rng: random.Random
) -> tuple[dict[str, float], dict[str, float]]:
    """Time first tokens, both ways at once at the same rate."""
    found = {}
    for way in urls:
        at_s = 0.0
        orders = []
        while at_s < FIRST_SECONDS:
            at_s += rng.expovariate(FIRST_RATE)
            orders.append(_order(urls[way], at_s, FIRST_TOKENS))
        latencies = report.Latencies()
        for stream in load.run(orders, LIMIT_S):
            if stream.tokens:
                latencies.add(stream.tokens[0] - stream.sent_at)
        found[way] = latencies
    figures = found['bambooring'].describe('first_token')
    direct = found['direct'].describe('first_token')
    for percent in (50, 95):
        name = f'first_token_p{percent}_ms'
        figures[f'first_token_added_p{percent}_ms'] = round(
            figures[name] - direct[name], 3
        )
    return figures, direct


def _order(url: str, at_s: float, tokens: int) -> load.Order:
    body = caller.make_chat_body(SERVICE, stream=True, max_tokens=tokens)
    return load.Order(at_s=at_s, url=url, key=KEY, body=body)


def _measure_streams(
    cluster: cluster_module.Cluster,
    urls: dict[str, str],
    streams: int,
    figures: dict[str, float],
    direct: dict[str, float],
) -> None:
    """Time the gaps between tokens of many streams, in turns."""
    names = {
        'entry': 'entry-rajkot-1',
        'agent': 'rota-llm-1',
        'control': 'control-1',
    }
    processes = {
        role: psutil.Process(cluster.processes[name].handle.pid)
        for role, name in names.items()
    }
    gaps = {way: report.Latencies() for way in urls}
    tokens = 0
    used = dict.fromkeys(processes, 0.0)
    whole = dict.fromkeys(urls, streams)
    for _ in range(ROUNDS):
        for way, url in urls.items():
            before = {role: _get_cpu(item) for role, item in processes.items()}
            done = _run_streams(url, streams, gaps[way])
            whole[way] = min(whole[way], _count_whole(done))
            if way == 'bambooring':
                tokens += sum(len(stream.tokens) for stream in done)
                for role, item in processes.items():
                    used[role] += _get_cpu(item) - before[role]
    for way, kept in (('bambooring', figures), ('direct', direct)):
        kept.update(gaps[way].describe('gap'))
        kept['streams_whole'] = whole[way]
    for role, process in processes.items():
        figures[f'{role}_memory_mb'] = round(
            process.memory_info().rss / 1e6, 1
        )
        if role != 'control':
            figures[f'{role}_tokens_per_core_s'] = round(tokens / used[role])
    figures['gap_ratio_p95'] = round(
        figures['gap_p95_ms'] / direct['gap_p95_ms'], 3
    )


def _get_cpu(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _count_whole(streams: list[load.Stream]) -> int:
    return sum(
        not stream.error and len(stream.tokens) == STREAM_TOKENS
        for stream in streams
    )


def _run_streams(
    url: str, streams: int, gaps: report.Latencies
) -> list[load.Stream]:
    """Run streams one way and add the gaps while all of them run."""
    spread_s = STREAM_TOKENS * INTERVAL_MS / 1000 / 4
    orders = [
        _order(url, index * spread_s / streams, STREAM_TOKENS)
        for index in range(streams)
    ]
    done = load.run(orders, LIMIT_S)
    settled_at = max(stream.sent_at for stream in done) + SETTLED_S
    for stream in done:
        settled = [at for at in stream.tokens if at >= settled_at]
        for first, second in zip(settled, settled[1:]):
            gaps.add(second - first)
    return done
