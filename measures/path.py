"""Measure the latency and CPU time that bambooring adds to a direct call.

Requests go through one entry instance and one agent, and directly to the
engine for comparison.
"""

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

API_KEY = 'key-of-the-load'
SERVICE = 'rota-llm'
FIRST_TOKEN_REQUESTS_PER_S = 27.0
FIRST_TOKEN_DURATION_S = 8.0
FIRST_TOKEN_RESPONSE_TOKENS = 8
STREAM_COUNT = 300
TOKENS_PER_STREAM = 130
ROUND_COUNT = 2
TOKEN_INTERVAL_MS = 36.0
RUN_TIMEOUT_S = 60.0
WARM_UP_S = 0.5

MAX_ADDED_FIRST_TOKEN_P95_MS = 5.0
MAX_GAP_P95_RATIO = 1.10
# An entry instance must forward this many tokens per second on this share of
# a core.
REQUIRED_ENTRY_TOKENS_PER_S = 6500.0
MAX_ENTRY_CORE_RATIO = 0.75


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure the path of a request from a caller to the target.

    :param seed: random seed of the arrivals
    :param scale: factor of the number of streams
    :param plot: unused
    :returns: the report
    """
    rng = random.Random(seed)
    stream_count = int(STREAM_COUNT * scale)
    with tempfile.TemporaryDirectory(prefix='bambooring-') as folder:
        cluster = cluster_module.Cluster(
            pathlib.Path(folder),
            domains=['rajkot'],
            token_interval_ms=TOKEN_INTERVAL_MS,
        )
        with cluster:
            urls = _start_cluster(cluster)
            figures, direct = _measure_first_token(urls, rng)
            _measure_token_gaps(cluster, urls, stream_count, figures, direct)
    return report.Report(
        name='path',
        seed=seed,
        figures=figures,
        baselines={'direct': direct},
        thresholds=[
            report.Threshold(
                figure='first_token_added_p95_ms',
                at_most=MAX_ADDED_FIRST_TOKEN_P95_MS,
            ),
            report.Threshold(
                figure='gap_ratio_p95', at_most=MAX_GAP_P95_RATIO
            ),
            report.Threshold(
                figure='entry_tokens_per_core_s',
                at_least=round(
                    REQUIRED_ENTRY_TOKENS_PER_S / MAX_ENTRY_CORE_RATIO
                ),
            ),
            report.Threshold(figure='streams_whole', at_least=stream_count),
        ],
    )


def _start_cluster(cluster: cluster_module.Cluster) -> dict[str, str]:
    """Start a control replica, an entry instance and a target.

    :param cluster: cluster without processes
    :returns: URL of the chat completions of the entry instance
        (``bambooring``) and of the engine (``direct``)
    """
    cluster.add_control_instances(1)
    cluster.add_entry_instances()
    cluster.wait_leader()
    cluster.add_target(
        'rota-llm-1', service=SERVICE, domain='rajkot', protocol='chat'
    )
    _write_declarations(cluster.folder / 'declarations')
    result = cluster.run_command('apply', str(cluster.folder / 'declarations'))
    if result.returncode:
        raise cluster_module.ClusterError(result.stderr)
    cluster.wait_targets(1)
    engine_address = cluster.processes['rota-llm-1-engine'].address
    entry_address = cluster.processes['entry-rajkot-1'].address
    return {
        'bambooring': f'http://{entry_address}/v1/chat/completions',
        'direct': f'http://{engine_address}/v1/chat/completions',
    }


def _write_declarations(folder: pathlib.Path) -> None:
    """Write declarations with limits that the load doesn't reach."""
    folder.mkdir()
    account = {
        'kind': 'client_account',
        'name': 'load',
        'schema': 2,
        'keys': [{'digest': settings.compute_digest(API_KEY)}],
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


def _measure_first_token(
    urls: dict[str, str], rng: random.Random
) -> tuple[dict[str, float], dict[str, float]]:
    """Measure the latency of first tokens, at the same rate for each URL.

    The URLs are loaded one after the other.

    :param urls: URLs by column of the report
    :param rng: random source of the arrivals
    :returns: the figures of bambooring and those of direct calls
    """
    latencies_by_column = {}
    for column in urls:
        send_offset_s = 0.0
        requests = []
        while send_offset_s < FIRST_TOKEN_DURATION_S:
            send_offset_s += rng.expovariate(FIRST_TOKEN_REQUESTS_PER_S)
            requests.append(
                _make_stream_request(
                    urls[column], send_offset_s, FIRST_TOKEN_RESPONSE_TOKENS
                )
            )
        latencies = report.Latencies()
        for stream in load.run(requests, RUN_TIMEOUT_S):
            if stream.token_times:
                latencies.add(stream.token_times[0] - stream.sent_at)
        latencies_by_column[column] = latencies
    figures = latencies_by_column['bambooring'].make_figures('first_token')
    direct = latencies_by_column['direct'].make_figures('first_token')
    for percentile in (50, 95):
        name = f'first_token_p{percentile}_ms'
        figures[f'first_token_added_p{percentile}_ms'] = round(
            figures[name] - direct[name], 3
        )
    return figures, direct


def _make_stream_request(
    url: str, send_offset_s: float, max_tokens: int
) -> load.StreamRequest:
    body = caller.make_chat_body(SERVICE, stream=True, max_tokens=max_tokens)
    return load.StreamRequest(
        send_offset_s=send_offset_s, url=url, api_key=API_KEY, body=body
    )


def _measure_token_gaps(
    cluster: cluster_module.Cluster,
    urls: dict[str, str],
    stream_count: int,
    figures: dict[str, float],
    direct: dict[str, float],
) -> None:
    """Measure the gaps between tokens while many streams run.

    Rounds through bambooring alternate with rounds of direct calls. The CPU
    time of the processes is that of the rounds through bambooring.

    :param cluster: running cluster
    :param urls: URLs by column of the report
    :param stream_count: number of streams in each round
    :param figures: figures of bambooring, to which more are added
    :param direct: figures of direct calls, to which more are added
    """
    process_names = {
        'entry': 'entry-rajkot-1',
        'agent': 'rota-llm-1',
        'control': 'control-1',
    }
    processes = {
        role: psutil.Process(cluster.processes[name].handle.pid)
        for role, name in process_names.items()
    }
    gaps = {column: report.Latencies() for column in urls}
    token_count = 0
    cpu_s = dict.fromkeys(processes, 0.0)
    complete_counts = dict.fromkeys(urls, stream_count)
    for _ in range(ROUND_COUNT):
        for column, url in urls.items():
            cpu_s_before = {
                role: _get_cpu_s(node_process)
                for role, node_process in processes.items()
            }
            streams = _run_streams(url, stream_count, gaps[column])
            complete_counts[column] = min(
                complete_counts[column], _count_complete(streams)
            )
            if column == 'bambooring':
                token_count += sum(
                    len(stream.token_times) for stream in streams
                )
                for role, node_process in processes.items():
                    cpu_s[role] += (
                        _get_cpu_s(node_process) - cpu_s_before[role]
                    )
    for column, column_figures in (
        ('bambooring', figures),
        ('direct', direct),
    ):
        column_figures.update(gaps[column].make_figures('gap'))
        column_figures['streams_whole'] = complete_counts[column]
    for role, process in processes.items():
        figures[f'{role}_memory_mb'] = round(
            process.memory_info().rss / 1e6, 1
        )
        if role != 'control':
            figures[f'{role}_tokens_per_core_s'] = round(
                token_count / cpu_s[role]
            )
    figures['gap_ratio_p95'] = round(
        figures['gap_p95_ms'] / direct['gap_p95_ms'], 3
    )


def _get_cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _count_complete(streams: list[load.Stream]) -> int:
    return sum(
        not stream.curl_error and len(stream.token_times) == TOKENS_PER_STREAM
        for stream in streams
    )


def _run_streams(
    url: str, stream_count: int, gaps: report.Latencies
) -> list[load.Stream]:
    """Run streams of one URL and record the gaps while all of them run.

    The streams start evenly over a quarter of a stream's duration. Gaps are
    recorded from ``WARM_UP_S`` after the start of the last stream.

    :param url: URL that the requests are sent to
    :param stream_count: number of streams
    :param gaps: where the gaps between tokens are recorded
    :returns: the streams, ended or timed out
    """
    spread_s = TOKENS_PER_STREAM * TOKEN_INTERVAL_MS / 1000 / 4
    requests = [
        _make_stream_request(
            url, index * spread_s / stream_count, TOKENS_PER_STREAM
        )
        for index in range(stream_count)
    ]
    streams = load.run(requests, RUN_TIMEOUT_S)
    recorded_from = max(stream.sent_at for stream in streams) + WARM_UP_S
    for stream in streams:
        token_times = [
            token_time
            for token_time in stream.token_times
            if token_time >= recorded_from
        ]
        for first, second in zip(token_times, token_times[1:]):
            gaps.add(second - first)
    return streams
