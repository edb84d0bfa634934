"""Define the command line of the agent."""

import pathlib
import signal

import click

from bambooring_agent import const
from bambooring_agent import process
from bambooring_agent import schema
from bambooring_core import errors
from bambooring_core import identity
from bambooring_core import logs
from bambooring_core import reactor as reactor_module
from bambooring_core import settings as core_settings

EXIT_SETTINGS_ERROR = 2

_SETTINGS_OPTION = click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help='The settings file, JSON with comments.',
)


@click.group(context_settings={'help_option_names': ['-h', '--help']})
@click.version_option(package_name='bambooring-agent')
def main() -> None:
    """Run the bambooring agent of one target.

    Exit codes: 0 success, 1 failure, 2 invalid settings or arguments.

    \b
    Example:
      bambooring-agent run --settings agent.json5
    """


@main.command()
@_SETTINGS_OPTION
def run(path: pathlib.Path) -> None:
    """Run until told to stop; on SIGTERM, leave and finish work first."""
    settings = _read_settings(path)
    logs.configure(
        settings[const.CONF_TARGET],
        settings[const.CONF_FAILURE_DOMAIN],
        settings[const.CONF_LOG_LEVEL],
    )
    with reactor_module.Reactor() as reactor:
        try:
            agent = process.Agent(
                settings,
                reactor=reactor,
                key=core_settings.read_key(
                    pathlib.Path(settings[const.CONF_KEY_FILE])
                ),
                incarnation=identity.generate_incarnation(),
            )
        except errors.SettingsError as error:
            _exit_with_error(error)
        signal.signal(signal.SIGTERM, lambda *args: agent.leave())
        signal.signal(signal.SIGINT, lambda *args: agent.leave())
        agent.run()


@main.command()
@_SETTINGS_OPTION
def check(path: pathlib.Path) -> None:
    """Check a settings file and print the error if it is invalid."""
    _read_settings(path)
    click.echo(f'{path}: good')


def _read_settings(path: pathlib.Path) -> dict:
    try:
        return schema.read_settings(path)
    except errors.SettingsError as error:
        _exit_with_error(error)
    raise AssertionError


def _exit_with_error(error: errors.SettingsError) -> None:
    click.echo(str(error), err=True)
    raise SystemExit(EXIT_SETTINGS_ERROR)
