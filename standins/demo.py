"""Show the whole path: two domains, streams, bookings, a planned stop."""

import concurrent.futures
import pathlib
import signal
import tempfile
import time

import click

from standins import caller
from standins import cluster as cluster_module

STREAMS = 20
TOKENS = 60
KEY_ROTA = 'demo-key-rota-desk'
KEY_MILL = 'demo-key-herning-mill'


def _say(text: str) -> None:
    click.echo(f'{time.strftime("%H:%M:%S")}  {text}')


def _check(condition: object, what: str) -> None:
    if not condition:
        raise click.ClickException(f'failed: {what}')
    _say(f'ok: {what}')


def start(cluster: cluster_module.Cluster) -> dict[str, str]:
    """Start the demo's processes and apply both deployments.

    :param cluster: the cluster, entered
    :returns: the entry instances' URLs by name
    """
    _say('starting 3 control replicas, 2 entry instances')
    cluster.add_control()
    cluster.add_entries()
    _say(f'leader: {cluster.wait_leader()}')
    _say('starting 6 targets with an agent each')
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
        done = cluster.run_command('apply', f'examples/{name}')
        for line in done.stdout.splitlines()[-2:]:
            _say(f'apply {name}: {line}')
        _check(done.returncode == 0, f'declarations of {name} in force')
    entries = {
        name: f'http://{process.address}'
        for name, process in cluster.processes.items()
        if name.startswith('entry-')
    }
    for name in entries:
        cluster.wait_ready(name)
    cluster.wait_targets(6)
    return entries


def _stream(url: str) -> None:
    body = caller.make_chat('rota-llm', stream=True, max_tokens=TOKENS)
    answer = caller.call(f'{url}/v1/chat/completions', KEY_ROTA, body)
    _check(answer.is_whole, f'streamed an answer of {len(answer.body)} bytes')
    words = answer.read_text().split()
    _check(len(words) == TOKENS, f'all {TOKENS} tokens arrived')


def _book(urls: list[str]) -> None:
    headers = {'Idempotency-Key': 'slot-17', 'Content-Type': 'text/json'}
    body = b'{"digester": 17, "day": "Thursday"}'
    answers = [
        caller.call(f'{url}/services/rota-app/slots', KEY_ROTA, body, headers)
        for url in (urls[0], urls[0], urls[1])
    ]
    _check(answers[0].status == 201, 'booked a slot')
    _check(
        len({answer.body for answer in answers}) == 1,
        'resent twice under the same key, the other time through another'
        ' entry: the same answer',
    )
    listed = caller.call(f'{urls[0]}/services/rota-app/slots', KEY_ROTA)
    _check(listed.body.count(b'"number"') == 1, 'one effect on the target')


def _stop_entry(cluster: cluster_module.Cluster, name: str, url: str) -> None:
    body = caller.make_chat('assistant-llm', stream=True, max_tokens=TOKENS)
    path = f'{url}/v1/chat/completions'
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        started = [
            pool.submit(caller.call, path, KEY_MILL, body)
            for _ in range(STREAMS)
        ]
        cluster_module.wait_for(
            lambda: _count_running(cluster, name) >= STREAMS,
            'the streams to run',
        )
        cluster.signal(name, signal.SIGTERM)
        _say(f'told {name} to leave with {STREAMS} streams running')
        answers = [future.result() for future in started]
    whole = sum(
        answer.is_whole and len(answer.read_text().split()) == TOKENS
        for answer in answers
    )
    _check(whole == STREAMS, f'{whole} of {STREAMS} streams came whole')
    _check(cluster.wait_end(name) == 0, f'{name} ended by itself')


def _count_running(cluster: cluster_module.Cluster, name: str) -> int:
    for item in cluster.get_client().get_status()['instances']:
        if item['instance'] == name:
            return item['running']
    return 0


@click.command()
@click.option('--keep', is_flag=True, help='Leave everything running.')
def main(keep: bool) -> None:
    """Run the demo; exit 0 if everything held."""
    with tempfile.TemporaryDirectory(prefix='bambooring-') as folder:
        with cluster_module.Cluster(pathlib.Path(folder)) as cluster:
            entries = start(cluster)
            urls = list(entries.values())
            _stream(urls[0])
            _book(urls)
            if keep:
                _wait(cluster, urls)
                return
            name = list(entries)[1]
            _stop_entry(cluster, name, entries[name])
            _stream(urls[0])
    _say('done')


def _wait(cluster: cluster_module.Cluster, urls: list[str]) -> None:
    _say('left running; stop it with Ctrl-C. Call it, for example:')
    click.echo(
        f"  curl -N {urls[0]}/v1/chat/completions"
        f" -H 'Authorization: Bearer {KEY_ROTA}'"
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
        _say('stopping')


if __name__ == '__main__':
    main()
