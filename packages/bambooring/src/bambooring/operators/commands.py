"""Command line to run instances and operate a cluster."""

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
from bambooring.operators import review
from bambooring.operators import tables
from bambooring.replication import storage
from bambooring.review import messages
from bambooring.review import report
from bambooring import schema
from bambooring_core import const as core_const
from bambooring_core import errors as core_errors
from bambooring_core import identity
from bambooring_core import logs
from bambooring_core import reactor as reactor_module
from bambooring_core import settings as core_settings

EPILOG = """
Exit codes: 0 success, 1 failure, or warnings of `check`, 2 invalid arguments,
settings or declarations, 3 a change was refused as a conflict, 4 a change was accepted but
is not in force in time, 5 the outcome is not known, 6 `diff` found
differences.
"""

_FOLDER_ARGUMENT = click.argument(
    'folder',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)
_OPERATOR_OPTION = click.option(
    '--operator',
    required=True,
    envvar='BAMBOORING_OPERATOR',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help='The settings file of the operator, with servers and key_file.',
)
_PRUNE_OPTION = click.option(
    '--prune',
    is_flag=True,
    help='Remove records that are not declared in FOLDER.',
)
_JSON_OPTION = click.option(
    '--json', 'as_json', is_flag=True, help='Print JSON.'
)


class _ErrorHandlingGroup(click.Group):
    """Command group that turns errors into messages and exit codes."""

    def invoke(self, context: click.Context) -> typing.Any:
        """Run the command; if it fails, exit with a code for the error."""
        try:
            return super().invoke(context)
        except errors.UnreachableError as error:
            _exit_with_error(str(error), const.EXIT_OUTCOME_UNKNOWN)
        except errors.OperatorError as error:
            _exit_with_error(str(error), const.EXIT_FAILED)
        except (core_errors.SettingsError, server_errors.ServerError) as error:
            _exit_with_error(str(error), const.EXIT_USAGE)
        return None


def _exit_with_error(message: str, code: int) -> typing.NoReturn:
    click.echo(message, err=True)
    sys.exit(code)


@click.group(
    cls=_ErrorHandlingGroup,
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
    help='The settings file of the instance, in JSON5.',
)
def run(path: pathlib.Path) -> None:
    """Run an entry instance or a control replica until it is stopped.

    On SIGTERM or SIGINT it leaves before it stops: an entry instance finishes
    the requests in progress, a control replica transfers its leadership.
    """
    settings = schema.read_settings(path)
    logs.configure(
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
    incarnation = identity.generate_incarnation()
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
@_FOLDER_ARGUMENT
@click.option(
    '--against',
    type=click.Path(exists=True, path_type=pathlib.Path),
    help='A folder or file with the declarations in force.',
)
@click.option(
    '--operator',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help='Settings of the operator: ask the control replicas what is in'
    ' force.',
)
@click.option(
    '--prune',
    is_flag=True,
    help='Check as if records that are not declared in FOLDER were removed.',
)
@_JSON_OPTION
def check(
    folder: pathlib.Path,
    against: pathlib.Path | None,
    operator: pathlib.Path | None,
    prune: bool,
    as_json: bool,
) -> None:
    """Check declarations and settings files below FOLDER, and compare them.

    Works offline, except with --operator. Records in force that are not in
    FOLDER count as kept, unless --prune is given.

    Exit codes: 0 no findings or only notes, 1 warnings (it can be sent, but
    an entry never matches or limits contradict each other), 2 errors (it
    would be refused, or can't be read).
    """
    if against is not None and operator is not None:
        raise click.UsageError('--against and --operator exclude each other')
    checked = review.read_folder(folder)
    in_force = None
    findings = []
    try:
        in_force = _read_in_force(against, operator)
    except (core_errors.SettingsError, server_errors.ServerError) as error:
        findings.append(
            report.error('in_force_unreadable', 'in force', str(error))
        )
    findings += review.review(checked, in_force, prune=prune)
    if as_json:
        click.echo(report.render_json(findings))
    else:
        for path in checked.valid_paths:
            click.echo(f'{path}: good')
        for finding in findings:
            if finding.severity is messages.Severity.ERROR:
                # It begins with the file and the line.
                click.echo(finding.text, err=True)
            else:
                click.echo(report.render(finding))
    sys.exit(report.get_exit_code(findings))


def _read_in_force(
    against: pathlib.Path | None, operator: pathlib.Path | None
) -> review.Declarations | None:
    if operator is not None:
        listing = _make_client(operator).list_records()
        return review.convert_records(listing['records'])
    if against is None:
        return None
    if against.is_dir():
        return declarations.read_folder(against)
    in_force: review.Declarations = {}
    declarations.add_file(against, in_force)
    return in_force


@main.command()
@_FOLDER_ARGUMENT
@_OPERATOR_OPTION
@_PRUNE_OPTION
def diff(folder: pathlib.Path, operator: pathlib.Path, prune: bool) -> None:
    """Show what `apply` would change."""
    client = _make_client(operator)
    differences = _find_differences(client, folder, prune)
    _print_differences(differences)
    if differences:
        sys.exit(const.EXIT_DIFFERENCES)


@main.command()
@_FOLDER_ARGUMENT
@_OPERATOR_OPTION
@_PRUNE_OPTION
@click.option(
    '--wait',
    'wait_s',
    default=const.DEFAULT_IN_FORCE_TIMEOUT_S,
    show_default=True,
    help='Seconds to wait until the change is in force.',
)
@click.option(
    '--change',
    default=None,
    help='The id of the change; repeat it to resend a change.',
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
    differences = _find_differences(client, folder, prune)
    if not differences:
        click.echo('nothing to change')
        return
    _print_differences(differences)
    change = change or str(uuid.uuid4())
    click.echo(f'change {change}')
    answer = client.send_change(change, differences)
    if answer['outcome'] != 'accepted':
        _print_conflicts(answer)
        sys.exit(const.EXIT_CONFLICT)
    click.echo(f'accepted as revision {answer["revision"]}')
    _wait_until_in_force(client, answer['revision'], wait_s)


def _wait_until_in_force(
    client: client_module.Client, revision: int, wait_s: float
) -> None:
    lagging_instances: list[str] = []
    for lagging_instances in client.poll_lagging_instances(revision, wait_s):
        if lagging_instances:
            click.echo('not yet in force on ' + ', '.join(lagging_instances))
    if lagging_instances:
        sys.exit(const.EXIT_NOT_IN_FORCE)
    click.echo(f'revision {revision} is in force on every instance')


def _find_differences(
    client: client_module.Client, folder: pathlib.Path, prune: bool
) -> list[declarations.Difference]:
    declared = declarations.read_folder(folder)
    listed_records = client.list_records()['records']
    return declarations.compare(declared, listed_records, prune)


def _print_differences(
    differences: collections.abc.Iterable[declarations.Difference],
) -> None:
    for difference in differences:
        click.echo(
            f'{difference.action} {difference.kind} {difference.name}'
            f' (number {difference.expected} -> {difference.expected + 1})'
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


def _make_client(settings_path: pathlib.Path) -> client_module.Client:
    settings = client_module.read_settings(settings_path)
    key = core_settings.read_key(
        pathlib.Path(settings[client_module.CONF_KEY_FILE])
    )
    return client_module.Client(
        settings[client_module.CONF_SERVERS], key.decode()
    )


@main.command()
@_OPERATOR_OPTION
@_JSON_OPTION
def records(operator: pathlib.Path, as_json: bool) -> None:
    """List the records."""
    listing = _make_client(operator).list_records()
    if as_json:
        click.echo(json.dumps(listing, indent=2))
        return
    rows: list[list[object]] = [
        [
            record['kind'],
            record['name'],
            record['number'],
            record['content']['schema'],
        ]
        for record in listing['records']
        if not record['is_deleted']
    ]
    for line in tables.render(['KIND', 'NAME', 'NUMBER', 'SCHEMA'], rows):
        click.echo(line)


@main.command()
@_OPERATOR_OPTION
@_JSON_OPTION
def status(operator: pathlib.Path, as_json: bool) -> None:
    """Show the leader, instances and targets with their load and state."""
    cluster_status = _make_client(operator).get_status()
    if as_json:
        click.echo(json.dumps(cluster_status, indent=2))
        return
    click.echo(
        f'leader {cluster_status["leader"] or "none"},'
        f' term {cluster_status["term"]},'
        f' members {", ".join(cluster_status["members"])}'
    )
    click.echo(
        f'revision {cluster_status["revision"]},'
        f' {cluster_status["claims"]} claims'
    )
    # Replicas of an earlier release don't report them.
    evacuated_domains = cluster_status.get('evacuated_domains', [])
    if evacuated_domains:
        click.echo(f'evacuated: {", ".join(evacuated_domains)}')
    for line in _render_status(cluster_status, evacuated_domains):
        click.echo(line)


def _render_status(
    cluster_status: dict[str, typing.Any], evacuated_domains: list[str]
) -> collections.abc.Iterator[str]:
    rows: list[list[object]] = [
        [
            status['instance'],
            status['failure_domain'],
            status['in_force'],
            status['running'],
            'leaving' if status['is_leaving'] else '',
        ]
        for status in cluster_status['instances']
    ]
    header = ['INSTANCE', 'DOMAIN', 'IN FORCE', 'RUNNING', '']
    yield from tables.render(header, rows)
    rows = [
        [
            status['target'],
            status['service'],
            status['failure_domain'],
            f'{status["running"]}/{status["slots"]}',
            status['queued'],
            _describe_target_state(status, evacuated_domains),
        ]
        for status in cluster_status['targets']
    ]
    header = ['TARGET', 'SERVICE', 'DOMAIN', 'RUNNING', 'QUEUED', '']
    yield from tables.render(header, rows)


def _describe_target_state(
    status: dict[str, typing.Any], evacuated_domains: list[str]
) -> str:
    if status['is_leaving']:
        return 'leaving'
    if status['failure_domain'] in evacuated_domains:
        return 'evacuated'
    if not status['is_linked']:
        return 'no link'
    return '' if status['is_ready'] else 'not ready'


@main.command()
@click.argument('target')
@_OPERATOR_OPTION
def leave(target: str, operator: pathlib.Path) -> None:
    """Order TARGET to take no new requests and end once its own are done."""
    _make_client(operator).order_leave(target)
    click.echo(f'{target}: ordered to leave')


@main.command()
@click.argument('domain')
@_OPERATOR_OPTION
@click.option(
    '--withdraw',
    is_flag=True,
    help='Send requests to the targets of DOMAIN again.',
)
def evacuate(domain: str, operator: pathlib.Path, withdraw: bool) -> None:
    """Send no new requests to the targets of the failure domain DOMAIN."""
    answer = _make_client(operator).order_evacuation(
        domain, is_withdrawn=withdraw
    )
    action = 'evacuation withdrawn' if withdraw else 'evacuated'
    click.echo(f'{domain}: {action}, revision {answer["revision"]}')


@main.command()
@click.argument('request')
@click.argument('logs', nargs=-1, required=True, type=click.File())
def explain(request: str, logs: tuple[typing.TextIO, ...]) -> None:
    """Show the log lines of REQUEST from the LOGS of several processes."""
    lines = [line for log in logs for line in explanation.parse_lines(log)]
    request_lines = list(explanation.select_lines(request, lines))
    if not request_lines:
        _exit_with_error(
            f'no log line with request id {request}', const.EXIT_FAILED
        )
    for line in request_lines:
        click.echo(line.format())


@main.command()
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
def completion(shell: str) -> None:
    """Print the command that enables completion in SHELL."""
    click.echo(f'eval "$(_BAMBOORING_COMPLETE={shell}_source bambooring)"')
