"""Run a gateway process, with its logs, signals, settings and metrics."""

import collections.abc
import contextlib
import os
import pathlib
import signal
import types
import typing

import structlog

from bambooring_core import errors
from bambooring_core.http1 import const as http1_const
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as http1_server
from bambooring_core import logs
from bambooring_core import metrics
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

_SETTINGS_CHECK_INTERVAL_S: typing.Final = 1.0


class Settings(typing.Protocol):
    """The settings that all processes share."""

    instance: str
    failure_domain: str
    seeds: list[str]
    metrics_address: str
    log_level: str


class Process(typing.Protocol):
    """The interface of a gateway process."""

    def run(self) -> None:
        """Run until stopped."""

    def leave(self) -> None:
        """Stop without aborting requests; callable from any thread."""

    def connect_seeds(self, seeds: list[str]) -> None:
        """Maintain links to the seeds of reloaded settings."""


ReadSettings = collections.abc.Callable[[pathlib.Path], Settings]
ProcessFactory = collections.abc.Callable[
    [typing.Any, reactor_module.Reactor], Process
]


def run(
    path: pathlib.Path,
    read_settings: ReadSettings,
    make_process: ProcessFactory,
) -> None:
    """Run a process until it is stopped.

    :param path: the settings file
    :param read_settings: reads and validates the settings file
    :param make_process: creates the process from its settings
    :raises SettingsError: if the settings are invalid or unreadable
    """
    settings = read_settings(path)
    with contextlib.ExitStack() as stack:
        writer = stack.enter_context(logs.LineWriter(_STDOUT_FD))
        logs.configure(
            settings.instance,
            settings.failure_domain,
            settings.log_level,
            writer,
        )
        reactor = stack.enter_context(reactor_module.Reactor())
        _schedule_flushes(writer, reactor)
        process = make_process(settings, reactor)
        _watch_signals(process, reactor, path, read_settings)
        if settings.metrics_address:
            stack.enter_context(_serve_metrics(settings, reactor))
        _log_start(settings)
        process.run()


def _schedule_flushes(
    writer: logs.LineWriter, reactor: reactor_module.Reactor
) -> None:
    """Make the writer flush a short time after the first line of a batch."""

    def schedule_flush() -> None:
        reactor.call_later(logs.FLUSH_INTERVAL_S, writer.flush)

    writer.schedule_flush = schedule_flush


_STDOUT_FD: typing.Final = 1


def _log_start(settings: Settings) -> None:
    LOG.info(
        'process started',
        pid=os.getpid(),
        seeds=settings.seeds,
    )


def _watch_signals(
    process: Process,
    reactor: reactor_module.Reactor,
    path: pathlib.Path,
    read_settings: ReadSettings,
) -> None:
    """Install the signal handlers and watch the settings file.

    SIGTERM and SIGINT stop the process; SIGHUP or a change of the file makes
    it reload its settings.
    """
    watcher = _SettingsWatcher(process, path, read_settings)

    def stop(signum: int, frame: types.FrameType | None) -> None:
        process.leave()

    def reload(signum: int, frame: types.FrameType | None) -> None:
        reactor.post(lambda: watcher.check(is_forced=True))

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, reload)
    reactor.call_every(_SETTINGS_CHECK_INTERVAL_S, watcher.check)


class _SettingsWatcher:
    """Reload the settings file when it changes, or on request.

    Only the seeds are applied without a restart.
    """

    def __init__(
        self,
        process: Process,
        path: pathlib.Path,
        read_settings: ReadSettings,
    ) -> None:
        self._process = process
        self._path = path
        self._read_settings = read_settings
        self._last_stat = _stat(path)

    def check(self, is_forced: bool = False) -> None:
        """Reload the file if it has changed.

        :param is_forced: reload it even if it is unchanged
        """
        current_stat = _stat(self._path)
        if current_stat == self._last_stat and not is_forced:
            return
        self._last_stat = current_stat
        try:
            settings = self._read_settings(self._path)
        except errors.SettingsError as error:
            LOG.error(
                'settings not reloaded; keeping the previous settings',
                error=str(error),
            )
            return
        LOG.info('settings reloaded', seeds=settings.seeds)
        self._process.connect_seeds(settings.seeds)


def _stat(path: pathlib.Path) -> tuple[int, int, int]:
    """Return values that change if the file is edited or replaced.

    :returns: the inode, the modification time in nanoseconds and the size;
        zeros if they can't be read
    """
    try:
        result = path.stat()
    except OSError as error:
        LOG.warning(
            'cannot check the settings file for changes', error=str(error)
        )
        return 0, 0, 0
    return result.st_ino, result.st_mtime_ns, result.st_size


def _serve_metrics(
    settings: Settings, reactor: reactor_module.Reactor
) -> http1_server.Server:
    def respond(exchange: http1_server.Exchange) -> None:
        headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
        exchange.respond(200, headers, metrics.render())

    def count_refused(reason: str) -> None:
        metrics.UNREADABLE_REQUESTS.labels(reason=reason).inc()

    return http1_server.Server(
        reactor=reactor,
        address=settings.metrics_address,
        limits=http1.Limits(
            max_header_bytes=http1_const.MAX_HEADER_BYTES,
            # Requests for metrics have no body.
            max_body_bytes=http1_const.SMALL_BODY_BYTES,
            header_timeout_s=http1_const.HEADER_TIMEOUT_S,
            idle_timeout_s=http1_const.IDLE_TIMEOUT_S,
        ),
        handle=respond,
        count_refused=count_refused,
    )
