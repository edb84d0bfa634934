"""Send signals to the real program while it starts."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

START_TIMEOUT_S = 30.0
SIGNAL_INTERVAL_S = 0.01
_IGNORED_SIGNALS_FIELD = 'SigIgn'
_CAUGHT_SIGNALS_FIELD = 'SigCgt'
# Prints the modules of this project that importing the start module loads.
# No other may be loaded before a signal to reload is harmless.
_PRINT_LOADED_MODULES = (
    'import sys, bambooring_platform.__main__\n'
    'print([name for name in sys.modules if name.startswith("bambooring")])'
)
SETTINGS = """\
nodeName=entry-1
serves=edge
ip=127.0.0.1
zone=a
listen.frontend=127.0.0.1:0
listen.ready=127.0.0.1:0
internalPorts={first},{last}
seeds=127.0.0.1:1
"""


@pytest.fixture(params=[signal.SIG_DFL, signal.SIG_IGN], ids=str)
def outer_handler(request):
    """Set how the tests' own process handles SIGHUP, as nohup does."""
    previous_handler = signal.signal(signal.SIGHUP, request.param)
    yield request.param
    signal.signal(signal.SIGHUP, previous_handler)


def _restore_hangup():
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


@pytest.fixture
def process(tmp_path, outer_handler):
    """Yield a starting entry instance without peers, and its log file.

    It starts with the default action of SIGHUP, since an ignored signal would
    be inherited and look as if the program had ignored it itself.
    """
    first = 12_000 + os.getpid() * 7 % 20_000
    path = tmp_path / 'settings.conf'
    path.write_text(SETTINGS.format(first=first, last=first + 15))
    log = tmp_path / 'log'
    with log.open('wb') as output:
        handle = subprocess.Popen(
            [sys.executable, '-m', 'bambooring_platform'],
            stdout=output,
            stderr=output,
            env=os.environ | {'BAMBOORING_SETTINGS': str(path)},
            preexec_fn=_restore_hangup,
        )
    yield handle, log
    handle.kill()
    handle.wait()


def _is_ignored(pid, signal_number):
    """Return whether a process ignores a signal."""
    return _is_in_mask(pid, signal_number, _IGNORED_SIGNALS_FIELD)


def _is_caught(pid, signal_number):
    """Return whether a process handles a signal."""
    return _is_in_mask(pid, signal_number, _CAUGHT_SIGNALS_FIELD)


def _is_in_mask(pid, signal_number, field):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    masks = dict(
        line.split(':', 1) for line in status.splitlines() if ':' in line
    )
    return int(masks[field], 16) >> (signal_number - 1) & 1


def _wait_for(condition, description):
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, description


def test_start_module_is_loaded_alone():
    """Only the start module is loaded before SIGHUP is ignored.

    Loading more would leave time in which a signal to reload ends the
    process.
    """
    completed = subprocess.run(
        [sys.executable, '-c', _PRINT_LOADED_MODULES],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == (
        "['bambooring_platform', 'bambooring_platform.__main__']"
    )


def test_reload_while_starting(process):
    """Signals to reload that arrive during the start are harmless."""
    handle, log = process
    _wait_for(
        lambda: _is_ignored(handle.pid, signal.SIGHUP), 'SIGHUP is not ignored'
    )

    def has_started():
        handle.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            handle.wait(SIGNAL_INTERVAL_S)
        return 'entry instance runs' in log.read_text()

    _wait_for(has_started, 'the instance has not started')
    handle.send_signal(signal.SIGTERM)
    assert handle.wait(START_TIMEOUT_S) == 0


def test_stop_while_starting(process):
    """A stop that arrives before the imports is a clean one.

    A stop is handled from the moment on that a reload is ignored.
    """
    handle, _ = process
    _wait_for(
        lambda: _is_ignored(handle.pid, signal.SIGHUP), 'SIGHUP is not ignored'
    )
    assert _is_caught(handle.pid, signal.SIGTERM)
    handle.send_signal(signal.SIGTERM)
    assert handle.wait(START_TIMEOUT_S) == 0
