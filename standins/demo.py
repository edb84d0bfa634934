"""Run requests through a complete cluster of two failure domains.

The demo checks a stream, a booking that is sent again, and the planned stop
of an entry instance with streams in flight.
"""

import concurrent.futures
import pathlib
import signal
import tempfile
import time

import click

from standins import caller
from standins import cluster as cluster_module

STREAM_COUNT = 20
TOKENS_PER_STREAM = 60
ROTA_API_KEY = 'demo-key-rota-desk'
MILL_API_KEY = 'demo-key-herning-mill'


def _print_line(text: str) -> None:
    click.echo(f'{time.strftime("%H:%M:%S")}  {text}')


def _check(condition: object, description: str) -> None:
    if not condition:
        raise click.ClickException(f'failed: {description}')
    _print_line(f'ok: {description}')


def start_cluster(cluster: cluster_module.Cluster) -> dict[str, str]:
    """Start the processes of the demo and apply both example deployments.

    :param cluster: cluster whose context is entered
    :returns: URLs of the entry instances by name
    """
    _print_line('starting 3 control instances and 2 entry instances')
    cluster.add_control_instances()
    cluster.add_entry_instances()
    _print_line(f'leader: {cluster.wait_leader()}')
    _print_line('starting 6 targets with one agent each')
    for number, domain in enumerate(cluster.domains * 2, 1):
        service = 'rota-llm' if domain == 'rajkot' else 'assistant-llm'
        cluster.add_target(
            f'{service}-{number}',
            service=service,
            domain=domain,
            protocol='chat',
        )
    for service, domain in (('rota-app', 'rajkot'), ('mill-app', 'herning')):
        cluster.add_target(
            f'{service}-1', service=service, domain=domain, protocol='http'
        )
    for name in ('mandal', 'holmgaard'):
        completed = cluster.run_command('apply', f'examples/{name}')
        for line in completed.stdout.splitlines()[-2:]:
            _print_line(f'apply {name}: {line}')
        _check(
            completed.returncode == 0,
            f'the declarations of {name} are in force',
        )
    entry_urls = {
        name: f'http://{process.address}'
        for name, process in cluster.processes.items()
        if name.startswith('entry-')
    }
    for name in entry_urls:
        cluster.wait_ready(name)
    cluster.wait_targets(6)
    return entry_urls


def _check_stream(url: str) -> None:
    body = caller.make_chat_body(
        'rota-llm', stream=True, max_tokens=TOKENS_PER_STREAM
    )
    response = caller.call(f'{url}/v1/chat/completions', ROTA_API_KEY, body)
    _check(
        response.is_successful,
        f'received a streamed response of {len(response.body)} bytes',
    )
    tokens = response.extract_text().split()
    _check(
        len(tokens) == TOKENS_PER_STREAM,
        f'all {TOKENS_PER_STREAM} tokens arrived',
    )


def _check_booking(urls: list[str]) -> None:
    headers = {'Idempotency-Key': 'slot-17', 'Content-Type': 'text/json'}
    body = b'{"digester": 17, "day": "Thursday"}'
    responses = [
        caller.call(
            f'{url}/services/rota-app/slots', ROTA_API_KEY, body, headers
        )
        for url in (urls[0], urls[0], urls[1])
    ]
    _check(responses[0].status == 201, 'booked a slot')
    _check(
        len({response.body for response in responses}) == 1,
        'sent again twice with the same idempotency key, once through another'
        ' entry instance: the same response',
    )
    listing = caller.call(f'{urls[0]}/services/rota-app/slots', ROTA_API_KEY)
    _check(
        listing.body.count(b'"number"') == 1,
        'the booking took effect once on the target',
    )


def _check_planned_stop(
    cluster: cluster_module.Cluster, name: str, url: str
) -> None:
    body = caller.make_chat_body(
        'assistant-llm', stream=True, max_tokens=TOKENS_PER_STREAM
    )
    chat_url = f'{url}/v1/chat/completions'
    with concurrent.futures.ThreadPoolExecutor(STREAM_COUNT) as pool:
        futures = [
            pool.submit(caller.call, chat_url, MILL_API_KEY, body)
            for _ in range(STREAM_COUNT)
        ]
        cluster_module.wait_for(
            lambda: _count_running_requests(cluster, name) >= STREAM_COUNT,
            'the streams to start',
        )
        cluster.send_signal(name, signal.SIGTERM)
        _print_line(
            f'sent SIGTERM to {name} with {STREAM_COUNT} streams running'
        )
        responses = [future.result() for future in futures]
    complete_count = sum(
        response.is_successful
        and len(response.extract_text().split()) == TOKENS_PER_STREAM
        for response in responses
    )
    _check(
        complete_count == STREAM_COUNT,
        f'{complete_count} of {STREAM_COUNT} streams were complete',
    )
    _check(cluster.wait_exit(name) == 0, f'{name} exited with code 0')


def _count_running_requests(cluster: cluster_module.Cluster, name: str) -> int:
    for instance in cluster.get_client().get_status()['instances']:
        if instance['instance'] == name:
            return instance['running']
    return 0


@click.command()
@click.option(
    '--keep',
    is_flag=True,
    help='Keep the cluster running after the checks of stream and booking.',
)
def main(keep: bool) -> None:
    """Run the demo; exit with 0 if all checks pass."""
    with tempfile.TemporaryDirectory(prefix='bambooring-') as folder:
        with cluster_module.Cluster(pathlib.Path(folder)) as cluster:
            entry_urls = start_cluster(cluster)
            urls = list(entry_urls.values())
            _check_stream(urls[0])
            _check_booking(urls)
            if keep:
                _wait_for_interrupt(cluster, urls)
                return
            name = list(entry_urls)[1]
            _check_planned_stop(cluster, name, entry_urls[name])
            _check_stream(urls[0])
    _print_line('done')


def _wait_for_interrupt(
    cluster: cluster_module.Cluster, urls: list[str]
) -> None:
    _print_line('the cluster keeps running until Ctrl-C; example commands:')
    click.echo(
        f"  curl -N {urls[0]}/v1/chat/completions"
        f" -H 'Authorization: Bearer {ROTA_API_KEY}'"
        " -d '{\"model\": \"rota-llm\", \"stream\": true,"
        ' "messages": [{"role": "user", "content": "Draft a rota."}]}\''
    )
    click.echo(
        '  .venv/bin/bambooring status --operator'
        f' {cluster.folder / "operator.json5"}'
    )
    try:
        signal.pause()
    except KeyboardInterrupt:
        _print_line('stopping')


if __name__ == '__main__':
    main()
