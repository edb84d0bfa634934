"""Signal the real program while it starts."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

START_S = 30.0
SIGNAL_INTERVAL_S = 0.01
_IGNORED = 'SigIgn'
# What must not be loaded before a signal to reload is harmless.
_PRINT_LOADED = (
    'import sys, bambooring_platform.__main__\n'
    'print([one for one in sys.modules if one.startswith("bambooring")])'
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


@pytest.fixture
def process(tmp_path):
    """Start an entry instance that finds nobody."""
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
        )
    yield handle, log
    handle.kill()
    handle.wait()


def _is_ignored(pid, number):
    """Tell whether a process ignores a signal."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    masks = dict(
        line.split(':', 1) for line in status.splitlines() if ':' in line
    )
    return int(masks[_IGNORED], 16) >> (number - 1) & 1


def _wait(condition, what):
    end_s = time.monotonic() + START_S
    while not condition():
        assert time.monotonic() < end_s, what


def test_nothing_is_loaded_before():
    """Until the signal is ignored only the start module is loaded."""
    done = subprocess.run(
        [sys.executable, '-c', _PRINT_LOADED],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip() == (
        "['bambooring_platform', 'bambooring_platform.__main__']"
    )


def test_reload_while_starting(process):
    """Signals to reload that come early end nothing."""
    handle, log = process
    _wait(lambda: _is_ignored(handle.pid, signal.SIGHUP), 'not ignored')

    def has_started():
        handle.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            handle.wait(SIGNAL_INTERVAL_S)
        return 'entry instance runs' in log.read_text()

    _wait(has_started, 'not started')
    handle.send_signal(signal.SIGTERM)
    assert handle.wait(START_S) == 0
