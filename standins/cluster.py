"""Start a whole cluster of separate processes on loopback."""

import collections.abc
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
import types
import typing

import pycurl

from bambooring.operators import client as client_module
from bambooring_core import settings

ROOT = pathlib.Path(__file__).parent.parent
BIN = pathlib.Path(sys.executable).parent
POLL_S = 0.05
READY_S = 30.0
FIRST_PORT = 12_000
PORTS = 20_000

_PORTS = itertools.count(os.getpid() * 97)


class ClusterError(Exception):
    """Report a cluster that did not come up or did not end."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """Hold one process that the cluster started."""

    name: str
    command: list[str]
    log: pathlib.Path
    handle: subprocess.Popen | None = None
    address: str = ''
    operators: str = ''


class Cluster:
    """Own the processes and the folder of one cluster."""

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        domains: collections.abc.Sequence[str] = ('rajkot', 'herning'),
        entries_per_domain: int = 1,
        interval_ms: float = 36.0,
        max_running: int = 320,
        leave_grace_s: float = 0.5,
    ) -> None:
        self.folder = folder
        self.domains = list(domains)
        self.processes: dict[str, Process] = {}
        self.operator_key = secrets.token_hex(16)
        self._interval_ms = interval_ms
        self._max_running = max_running
        self._leave_grace_s = leave_grace_s
        self._entries_per_domain = entries_per_domain
        self._replicas: dict[str, str] = {}
        self._operators: dict[str, str] = {}
        self._entries: dict[str, str] = {}

    def __enter__(self) -> typing.Self:
        self.folder.mkdir(parents=True, exist_ok=True)
        key = self.folder / 'cluster.key'
        key.write_text(secrets.token_hex(32))
        (self.folder / 'operator.key').write_text(self.operator_key)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for process in reversed(list(self.processes.values())):
            if process.handle is not None and process.handle.poll() is None:
                process.handle.kill()
                process.handle.wait()

    def reserve(self) -> str:
        """Return an address that nobody listens on.

        Its port lies below those that outgoing connections are given, so
        that none of these can take it meanwhile.
        """
        while True:
            port = FIRST_PORT + next(_PORTS) % PORTS
            with contextlib.closing(socket.socket()) as sock:
                with contextlib.suppress(OSError):
                    sock.bind(('127.0.0.1', port))
                    return f'127.0.0.1:{port}'

    def _write(self, name: str, value: dict) -> pathlib.Path:
        path = self.folder / f'{name}.json5'
        path.write_text(json.dumps(value, indent=2))
        return path

    def _make_common(self, name: str, domain: str) -> dict:
        return {
            'schema': 1,
            'cluster': 'demo',
            'failure_domain': domain,
            'cluster_key_file': str(self.folder / 'cluster.key'),
        }

    def add_control(self, count: int = 3) -> None:
        """Start the control replicas."""
        names = [f'control-{number}' for number in range(1, count + 1)]
        self._replicas = {name: self.reserve() for name in names}
        for index, name in enumerate(names):
            operators = self.reserve()
            self._operators[name] = operators
            domain = self.domains[index % len(self.domains)]
            common = self._make_common(name, domain)
            value = common | {
                'role': 'control',
                'instance': name,
                'listen': {
                    'peers': self._replicas[name],
                    'operators': operators,
                },
                'data_folder': str(self.folder / name),
                'replicas': self._replicas,
                'operator_key_digests': [
                    settings.compute_digest(self.operator_key)
                ],
            }
            path = self._write(name, value)
            self._add_instance(name, path, '', operators)
        self._write(
            'operator',
            {
                'servers': [
                    f'http://{address}' for address in self._operators.values()
                ],
                'key_file': str(self.folder / 'operator.key'),
            },
        )

    def _add_instance(
        self, name: str, path: pathlib.Path, address: str, operators: str
    ) -> None:
        command = [str(BIN / 'bambooring'), 'run', '--settings', str(path)]
        self._add(name, command, address, operators)

    def _add(
        self, name: str, command: list[str], address: str, operators: str
    ) -> None:
        self.processes[name] = Process(
            name=name,
            command=command,
            log=self.folder / f'{name}.log',
            address=address,
            operators=operators,
        )
        self.start(name)

    def start(self, name: str) -> None:
        """Start a process, or start it again."""
        process = self.processes[name]
        with process.log.open('ab') as log:
            process.handle = subprocess.Popen(
                process.command, stdout=log, stderr=log, cwd=ROOT
            )

    def add_entries(self) -> None:
        """Start the entry instances of every domain."""
        names = [
            (f'entry-{domain}-{number}', domain)
            for domain in self.domains
            for number in range(1, self._entries_per_domain + 1)
        ]
        self._entries = {name: self.reserve() for name, _ in names}
        for name, domain in names:
            callers, operators = self.reserve(), self.reserve()
            peers = self._entries[name]
            others = [
                address
                for address in self._entries.values()
                if address != peers
            ]
            common = self._make_common(name, domain)
            value = common | {
                'role': 'entry',
                'instance': name,
                'listen': {
                    'callers': callers,
                    'peers': peers,
                    'operators': operators,
                },
                'control': list(self._replicas.values()),
                'peers': others,
                'max_running': self._max_running,
                'leave_grace_s': self._leave_grace_s,
            }
            path = self._write(name, value)
            self._add_instance(name, path, callers, operators)

    def add_target(
        self,
        name: str,
        *,
        service: str,
        domain: str,
        protocol: str,
        slots: int = 320,
        url: str | None = None,
    ) -> None:
        """Start a stand-in and the agent in its slot."""
        engine = self.reserve()
        module = 'standins.engine'
        command = [sys.executable, '-m', module, '--listen', engine]
        if protocol == 'chat':
            command += ['--interval-ms', str(self._interval_ms)]
        else:
            command[2] = 'standins.application'
            journal = self.folder / f'{name}.journal'
            command += ['--journal', str(journal)]
        self._add(f'{name}-engine', command + ['--name', name], engine, '')
        self._add_agent(
            name, service, domain, protocol, slots, url or f'http://{engine}'
        )

    def _add_agent(
        self,
        name: str,
        service: str,
        domain: str,
        protocol: str,
        slots: int,
        url: str,
    ) -> None:
        operators = self.reserve()
        value = self._make_common(name, domain) | {
            'target': name,
            'service': service,
            'listen': {'peers': self.reserve(), 'operators': operators},
            'entries': list(self._entries.values()),
            'engine': {'url': url, 'protocol': protocol, 'slots': slots},
            'leave_grace_s': 0.5,
        }
        path = self._write(name, value)
        command = [str(BIN / 'bambooring-agent'), 'run', '--settings']
        self._add(name, command + [str(path)], '', operators)

    def get_client(self) -> client_module.Client:
        """Return a client of the operators' API."""
        servers = [f'http://{address}' for address in self._operators.values()]
        return client_module.Client(servers, self.operator_key)

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run one of the operator's commands."""
        operator = self.folder / 'operator.json5'
        return subprocess.run(
            [str(BIN / 'bambooring'), *arguments, '--operator', str(operator)],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes."""
        handle = self.processes[name].handle
        assert handle is not None
        handle.send_signal(number)

    def kill(self, name: str) -> None:
        """End a process at once."""
        handle = self.processes[name].handle
        assert handle is not None
        handle.kill()
        handle.wait()

    def wait_end(self, name: str, timeout_s: float = READY_S) -> int:
        """Wait until a process has ended and return its exit code."""
        handle = self.processes[name].handle
        assert handle is not None
        return handle.wait(timeout_s)

    def wait_leader(self, other_than: str = '') -> str:
        """Wait for a leader and return its name."""

        def find() -> str:
            with contextlib.suppress(Exception):
                leader = self.get_client().get_status()['leader']
                return leader if leader != other_than else ''
            return ''

        return wait_for(find, 'a leader')

    def wait_ready(self, name: str) -> None:
        """Wait until a process says that it is ready."""
        operators = self.processes[name].operators
        wait_for(
            lambda: fetch_status(f'http://{operators}/health/ready') == 200,
            f'{name} to be ready',
        )

    def wait_targets(self, count: int) -> None:
        """Wait until so many targets are linked and ready."""

        def is_there() -> bool:
            status = self.get_client().get_status()
            linked = [
                target
                for target in status.get('targets', [])
                if target['is_linked'] and target['is_ready']
            ]
            return len(linked) >= count

        wait_for(is_there, f'{count} targets')


def wait_for(
    condition: collections.abc.Callable[[], typing.Any],
    what: str,
    timeout_s: float = READY_S,
) -> typing.Any:
    """Poll until a condition holds and return its value.

    :param condition: what to poll
    :param what: what is waited for, for the error
    :param timeout_s: the limit
    :raises ClusterError: if it does not hold in time
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, client_module.errors.OperatorError):
            value = condition()
            if value:
                return value
        time.sleep(POLL_S)
    raise ClusterError(f'waited in vain for {what}')


def fetch_status(url: str) -> int:
    """Return the status of a GET, 0 if nothing answers."""
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.TIMEOUT_MS, 2000)
    handle.setopt(pycurl.WRITEFUNCTION, lambda data: None)
    try:
        handle.perform()
        return handle.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error:
        return 0
    finally:
        handle.close()
