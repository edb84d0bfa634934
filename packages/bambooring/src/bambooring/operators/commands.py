"""Run the command line of instances and operators."""

import collections.abc
import json
import pathlib
import signal
import sys
import typing
import uuid

import click

from bambooring import const as settings_const
from bambooring import control
from bambooring import entry
from bambooring import errors as server_errors
from bambooring.operators import client as client_module
from bambooring.operators import const
from bambooring.operators import declarations
from bambooring.operators import errors
from bambooring.operators import explanation
from bambooring.operators import tables
from bambooring.replication import storage
from bambooring import schema
from bambooring_core import const as core_const
from bambooring_core import errors as core_errors
from bambooring_core import identity
from bambooring_core import logs
from bambooring_core import reactor as reactor_module
from bambooring_core import settings as core_settings

EPILOG = """
Exit codes: 0 done, 1 failed, 2 wrong arguments, settings or declarations,
3 a change was refused as a conflict, 4 accepted but not in force in time,
5 the outcome is not known, 6 `diff` found differences.
"""

_FOLDER = click.argument(
    'folder',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)
_OPERATOR = click.option(
    '--operator',
    required=True,
    envvar='BAMBOORING_OPERATOR',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help='The operator settings: servers and key_file.',
)
_PRUNE = click.option(
    '--prune', is_flag=True, help='Remove records not in the folder.'
)
_JSON = click.option('--json', 'as_json', is_flag=True, help='Print JSON.')


class _Group(click.Group):
    """Turn errors into messages and exit codes."""

    def invoke(self, context: click.Context) -> typing.Any:
        """Run a command."""
        try:
            return super().invoke(context)
        except errors.UnreachableError as error:
            _fail(str(error), const.EXIT_UNKNOWN)
        except errors.OperatorError as error:
            _fail(str(error), const.EXIT_FAILED)
        except (core_errors.SettingsError, server_errors.ServerError) as error:
            _fail(str(error), const.EXIT_USAGE)
        return None


def _fail(message: str, code: int) -> typing.NoReturn:
    click.echo(message, err=True)
    sys.exit(code)


@click.group(
    cls=_Group,
    epilog=EPILOG,
    context_settings={'help_option_names': ['-h', '--help']},
)
@click.version_option(package_name='bambooring')
def main() -> None:
    """Run bambooring instances and operate them.

    \b
    Examples:
      bambooring run --settings entry.json5
      bambooring check examples/mandal
      bambooring apply examples/mandal --operator operator.json5
      bambooring status --operator operator.json5 --json
    """


@main.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help='The settings file, JSON with comments.',
)
def run(path: pathlib.Path) -> None:
    """Run one entry instance or control replica until told to stop.

    SIGTERM leaves first: an entry instance finishes what is in progress, a
    control replica hands its leadership on.
    """
    settings = schema.read_settings(path)
    logs.set_up(
        settings[settings_const.CONF_INSTANCE],
        settings[settings_const.CONF_FAILURE_DOMAIN],
        settings[settings_const.CONF_LOG_LEVEL],
    )
    with reactor_module.Reactor() as reactor:
        process = _make_process(settings, reactor)
        signal.signal(signal.SIGTERM, lambda *args: process.leave())
        signal.signal(signal.SIGINT, lambda *args: process.leave())
        process.run()


def _make_process(
    settings: dict[str, typing.Any], reactor: reactor_module.Reactor
) -> entry.Entry | control.Control:
    key = core_settings.read_key(
        pathlib.Path(settings[settings_const.CONF_KEY_FILE])
    )
    incarnation = identity.draw_incarnation()
    if settings[settings_const.CONF_ROLE] == core_const.ROLE_CONTROL:
        folder = pathlib.Path(settings[settings_const.CONF_DATA_FOLDER])
        return control.Control(
            settings,
            reactor=reactor,
            key=key,
            incarnation=incarnation,
            disk=storage.FolderDisk(folder),
        )
    sys.setswitchinterval(entry.THREAD_SWITCH_INTERVAL_S)
    return entry.Entry(
        settings, reactor=reactor, key=key, incarnation=incarnation
    )


@main.command()
@_FOLDER
def check(folder: pathlib.Path) -> None:
    """Check declarations and settings files below FOLDER, offline."""
    problems = 0
    for path in sorted(folder.rglob('*.json5')):
        try:
            _check_file(path)
        except (core_errors.SettingsError, server_errors.ServerError) as error:
            click.echo(str(error), err=True)
            problems += 1
        else:
            click.echo(f'{path}: good')
    if problems:
        sys.exit(const.EXIT_USAGE)


def _check_file(path: pathlib.Path) -> None:
    """Check one file by what it holds."""
    value = core_settings.read_file(path)
    if isinstance(value, dict) and settings_const.CONF_ROLE in value:
        schema.read_settings(path)
    elif isinstance(value, dict) and client_module.CONF_SERVERS in value:
        client_module.read_settings(path)
    else:
        declarations.read_file(path)


@main.command()
@_FOLDER
@_OPERATOR
@_PRUNE
def diff(folder: pathlib.Path, operator: pathlib.Path, prune: bool) -> None:
    """Show what `apply` would change."""
    client = _make_client(operator)
    differences = _compare(client, folder, prune)
    _print_differences(differences)
    if differences:
        sys.exit(const.EXIT_DIFFERENT)


@main.command()
@_FOLDER
@_OPERATOR
@_PRUNE
@click.option(
    '--wait',
    'wait_s',
    default=const.DEFAULT_WAIT_S,
    show_default=True,
    help='Seconds to wait until it is in force.',
)
@click.option(
    '--change',
    default=None,
    help='The change id; repeat it to send a change again.',
)
def apply(
    folder: pathlib.Path,
    operator: pathlib.Path,
    prune: bool,
    wait_s: float,
    change: str | None,
) -> None:
    """Apply the declarations of FOLDER and wait until they are in force."""
    client = _make_client(operator)
    differences = _compare(client, folder, prune)
    if not differences:
        click.echo('nothing to change')
        return
    _print_differences(differences)
    change = change or str(uuid.uuid4())
    click.echo(f'change {change}')
    answer = client.change(change, differences)
    if answer['outcome'] != 'accepted':
        _print_conflicts(answer)
        sys.exit(const.EXIT_CONFLICT)
    click.echo(f'accepted as revision {answer["revision"]}')
    _wait(client, answer['revision'], wait_s)


def _wait(client: client_module.Client, revision: int, wait_s: float) -> None:
    lagging: list[str] = []
    for lagging in client.wait_in_force(revision, wait_s):
        if lagging:
            click.echo('not yet in force on ' + ', '.join(lagging))
    if lagging:
        sys.exit(const.EXIT_NOT_IN_FORCE)
    click.echo(f'revision {revision} is in force on every instance')


def _compare(
    client: client_module.Client, folder: pathlib.Path, prune: bool
) -> list[declarations.Difference]:
    declared = declarations.read_folder(folder)
    listed = client.list_records()['records']
    return declarations.compare(declared, listed, prune)


def _print_differences(
    differences: collections.abc.Iterable[declarations.Difference],
) -> None:
    for item in differences:
        click.echo(
            f'{item.action} {item.kind} {item.name}'
            f' (number {item.expected} -> {item.expected + 1})'
        )


def _print_conflicts(answer: dict[str, typing.Any]) -> None:
    click.echo(f'refused: {answer["outcome"]}', err=True)
    for conflict in answer['conflicts']:
        click.echo(
            f'  {conflict["kind"]} {conflict["name"]}: expected number'
            f' {conflict["expected"]}, it is at {conflict["number"]},'
            f' made by change {conflict["winner"]}',
            err=True,
        )


def _make_client(path: pathlib.Path) -> client_module.Client:
    settings = client_module.read_settings(path)
    key = core_settings.read_key(
        pathlib.Path(settings[client_module.CONF_KEY_FILE])
    )
    return client_module.Client(
        settings[client_module.CONF_SERVERS], key.decode()
    )


@main.command()
@_OPERATOR
@_JSON
def records(operator: pathlib.Path, as_json: bool) -> None:
    """List the records."""
    listed = _make_client(operator).list_records()
    if as_json:
        click.echo(json.dumps(listed, indent=2))
        return
    rows: list[list[object]] = [
        [item['kind'], item['name'], item['number'], item['content']['schema']]
        for item in listed['records']
        if not item['is_deleted']
    ]
    for line in tables.render(['KIND', 'NAME', 'NUMBER', 'SCHEMA'], rows):
        click.echo(line)


@main.command()
@_OPERATOR
@_JSON
def status(operator: pathlib.Path, as_json: bool) -> None:
    """Show instances, leader, targets, load and what is leaving."""
    described = _make_client(operator).describe()
    if as_json:
        click.echo(json.dumps(described, indent=2))
        return
    click.echo(
        f'leader {described["leader"] or "none"}, term {described["term"]},'
        f' members {", ".join(described["members"])}'
    )
    click.echo(
        f'revision {described["revision"]}, {described["claims"]} claims'
    )
    for line in _render_status(described):
        click.echo(line)


def _render_status(
    described: dict[str, typing.Any],
) -> collections.abc.Iterator[str]:
    rows: list[list[object]] = [
        [
            item['instance'],
            item['failure_domain'],
            item['in_force'],
            item['running'],
            'leaving' if item['is_leaving'] else '',
        ]
        for item in described['instances']
    ]
    header = ['INSTANCE', 'DOMAIN', 'IN FORCE', 'RUNNING', '']
    yield from tables.render(header, rows)
    rows = [
        [
            item['target'],
            item['service'],
            item['failure_domain'],
            f'{item["running"]}/{item["slots"]}',
            item['queued'],
            _describe_target(item),
        ]
        for item in described['targets']
    ]
    header = ['TARGET', 'SERVICE', 'DOMAIN', 'RUNNING', 'QUEUED', '']
    yield from tables.render(header, rows)


def _describe_target(item: dict[str, typing.Any]) -> str:
    if item['is_leaving']:
        return 'leaving'
    if not item['is_linked']:
        return 'no link'
    return '' if item['is_ready'] else 'not ready'


@main.command()
@click.argument('target')
@_OPERATOR
def leave(target: str, operator: pathlib.Path) -> None:
    """Order TARGET to take no new work and end when it is done."""
    _make_client(operator).leave(target)
    click.echo(f'{target}: ordered to leave')


@main.command()
@click.argument('request')
@click.argument('logs', nargs=-1, required=True, type=click.File())
def explain(request: str, logs: tuple[typing.TextIO, ...]) -> None:
    """Tell one request's story from the logs of several processes."""
    lines = [line for log in logs for line in explanation.read_lines(log)]
    story = list(explanation.explain(request, lines))
    if not story:
        _fail(f'no line names request {request}', const.EXIT_FAILED)
    for line in story:
        click.echo(line.describe())


@main.command()
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
def completion(shell: str) -> None:
    """Print the line that sets up completion for SHELL."""
    click.echo(f'eval "$(_BAMBOORING_COMPLETE={shell}_source bambooring)"')
