"""Run a complete cluster as separate processes on loopback."""

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
BIN_FOLDER = pathlib.Path(sys.executable).parent
POLL_INTERVAL_S = 0.05
WAIT_TIMEOUT_S = 30.0
FIRST_PORT = 12_000
PORT_COUNT = 20_000

_PORT_OFFSETS = itertools.count(os.getpid() * 97)


class ClusterError(Exception):
    """A cluster did not reach an awaited state."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """Process of a cluster, with the command that starts it again.

    ``handle`` is that of the latest start. ``address`` is where the process
    serves requests (of callers at an entry instance, of the agent at an
    engine or application) and ``operators_address`` where it serves the
    operators' API; each is empty if the process has none.
    """

    name: str
    command: list[str]
    log_path: pathlib.Path
    handle: subprocess.Popen | None = None
    address: str = ''
    operators_address: str = ''


class Cluster:
    """Processes of one cluster, with their settings and logs in a folder.

    Leaving the context kills all processes that still run.

    :param folder: folder for settings, keys, logs and data
    :param domains: failure domains
    :param entries_per_domain: number of entry instances in each domain
    :param token_interval_ms: time between two tokens of a simulated engine
    :param max_running: limit on running requests of each entry instance
    :param leave_grace_s: leave grace period of the entry instances
    :param memory_mb: memory of each entry instance, 0 for no limit
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        domains: collections.abc.Sequence[str] = ('rajkot', 'herning'),
        entries_per_domain: int = 1,
        token_interval_ms: float = 36.0,
        max_running: int = 320,
        leave_grace_s: float = 0.5,
        memory_mb: int = 0,
    ) -> None:
        self.folder = folder
        self.domains = list(domains)
        self.processes: dict[str, Process] = {}
        self.operator_key = secrets.token_hex(16)
        self._token_interval_ms = token_interval_ms
        self._max_running = max_running
        self._leave_grace_s = leave_grace_s
        self._memory_mb = memory_mb
        self._entries_per_domain = entries_per_domain
        self._replica_addresses: dict[str, str] = {}
        self._operators_addresses: dict[str, str] = {}
        self._entry_addresses: dict[str, str] = {}

    def __enter__(self) -> typing.Self:
        self.folder.mkdir(parents=True, exist_ok=True)
        key_path = self.folder / 'cluster.key'
        key_path.write_text(secrets.token_hex(32))
        (self.folder / 'operator.key').write_text(self.operator_key)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        for process in reversed(list(self.processes.values())):
            if process.handle is not None and process.handle.poll() is None:
                process.handle.kill()
                process.handle.wait()

    def find_free_address(self) -> str:
        """Return a loopback address with a free port.

        The port lies below the range of ephemeral ports, so that no outgoing
        connection can take it before the process binds it.
        """
        while True:
            port = FIRST_PORT + next(_PORT_OFFSETS) % PORT_COUNT
            with contextlib.closing(socket.socket()) as sock:
                with contextlib.suppress(OSError):
                    sock.bind(('127.0.0.1', port))
                    return f'127.0.0.1:{port}'

    def _write_settings(self, name: str, content: dict) -> pathlib.Path:
        path = self.folder / f'{name}.json5'
        path.write_text(json.dumps(content, indent=2))
        return path

    def _make_common_settings(self, name: str, domain: str) -> dict:
        return {
            'schema': 1,
            'cluster': 'demo',
            'failure_domain': domain,
            'cluster_key_file': str(self.folder / 'cluster.key'),
        }

    def add_control_instances(self, count: int = 3) -> None:
        """Start the control instances and write the operator's settings."""
        names = [f'control-{number}' for number in range(1, count + 1)]
        self._replica_addresses = {
            name: self.find_free_address() for name in names
        }
        for index, name in enumerate(names):
            operators_address = self.find_free_address()
            self._operators_addresses[name] = operators_address
            domain = self.domains[index % len(self.domains)]
            common_settings = self._make_common_settings(name, domain)
            instance_settings = common_settings | {
                'role': 'control',
                'instance': name,
                'listen': {
                    'peers': self._replica_addresses[name],
                    'operators': operators_address,
                },
                'data_folder': str(self.folder / name),
                'replicas': self._replica_addresses,
                'operator_key_digests': [
                    settings.compute_digest(self.operator_key)
                ],
            }
            path = self._write_settings(name, instance_settings)
            self._add_instance(name, path, '', operators_address)
        self._write_settings(
            'operator',
            {
                'servers': [
                    f'http://{address}'
                    for address in self._operators_addresses.values()
                ],
                'key_file': str(self.folder / 'operator.key'),
            },
        )

    def _add_instance(
        self,
        name: str,
        path: pathlib.Path,
        address: str,
        operators_address: str,
    ) -> None:
        command = [
            str(BIN_FOLDER / 'bambooring'),
            'run',
            '--settings',
            str(path),
        ]
        self._add_process(name, command, address, operators_address)

    def _add_process(
        self,
        name: str,
        command: list[str],
        address: str,
        operators_address: str,
    ) -> None:
        self.processes[name] = Process(
            name=name,
            command=command,
            log_path=self.folder / f'{name}.log',
            address=address,
            operators_address=operators_address,
        )
        self.start(name)

    def start(self, name: str) -> None:
        """Start or restart a process; its log is appended to."""
        process = self.processes[name]
        with process.log_path.open('ab') as log_file:
            process.handle = subprocess.Popen(
                process.command, stdout=log_file, stderr=log_file, cwd=ROOT
            )

    def add_entry_instances(self) -> None:
        """Start the entry instances of every failure domain."""
        names = [
            (f'entry-{domain}-{number}', domain)
            for domain in self.domains
            for number in range(1, self._entries_per_domain + 1)
        ]
        self._entry_addresses = {
            name: self.find_free_address() for name, _ in names
        }
        for name, domain in names:
            caller_address, operators_address = (
                self.find_free_address(),
                self.find_free_address(),
            )
            peer_address = self._entry_addresses[name]
            other_addresses = [
                address
                for address in self._entry_addresses.values()
                if address != peer_address
            ]
            common_settings = self._make_common_settings(name, domain)
            instance_settings = common_settings | {
                'role': 'entry',
                'instance': name,
                'listen': {
                    'callers': caller_address,
                    'peers': peer_address,
                    'operators': operators_address,
                },
                'control': list(self._replica_addresses.values()),
                'peers': other_addresses,
                'max_running': self._max_running,
                'leave_grace_s': self._leave_grace_s,
                'memory_mb': self._memory_mb,
            }
            path = self._write_settings(name, instance_settings)
            self._add_instance(name, path, caller_address, operators_address)

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
        """Start a simulated target and its agent.

        :param name: target name, also the name of the agent's process
        :param service: service that the target belongs to
        :param domain: failure domain
        :param protocol: ``chat`` for an engine, ``http`` for an application
        :param slots: number of requests that the target runs at a time
        :param url: URL at which the agent calls the target, None for the
            address at which the target listens
        """
        target_address = self.find_free_address()
        module = 'standins.engine'
        command = [sys.executable, '-m', module, '--listen', target_address]
        if protocol == 'chat':
            command += ['--interval-ms', str(self._token_interval_ms)]
        else:
            command[2] = 'standins.application'
            journal_path = self.folder / f'{name}.journal'
            command += ['--journal', str(journal_path)]
        self._add_process(
            f'{name}-engine', command + ['--name', name], target_address, ''
        )
        self._add_agent(
            name,
            service,
            domain,
            protocol,
            slots,
            url or f'http://{target_address}',
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
        operators_address = self.find_free_address()
        instance_settings = self._make_common_settings(name, domain) | {
            'target': name,
            'service': service,
            'listen': {
                'peers': self.find_free_address(),
                'operators': operators_address,
            },
            'entries': list(self._entry_addresses.values()),
            'engine': {'url': url, 'protocol': protocol, 'slots': slots},
            'leave_grace_s': 0.5,
        }
        path = self._write_settings(name, instance_settings)
        command = [str(BIN_FOLDER / 'bambooring-agent'), 'run', '--settings']
        self._add_process(name, command + [str(path)], '', operators_address)

    def get_client(self) -> client_module.Client:
        """Return a client for the operators' API of the control instances."""
        servers = [
            f'http://{address}'
            for address in self._operators_addresses.values()
        ]
        return client_module.Client(servers, self.operator_key)

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a `bambooring` command with the operator's settings."""
        operator_path = self.folder / 'operator.json5'
        return subprocess.run(
            [
                str(BIN_FOLDER / 'bambooring'),
                *arguments,
                '--operator',
                str(operator_path),
            ],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
        )

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process."""
        handle = self.processes[name].handle
        assert handle is not None
        handle.send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        handle = self.processes[name].handle
        assert handle is not None
        handle.kill()
        handle.wait()

    def wait_exit(self, name: str, timeout_s: float = WAIT_TIMEOUT_S) -> int:
        """Wait until a process exits and return its exit code."""
        handle = self.processes[name].handle
        assert handle is not None
        return handle.wait(timeout_s)

    def wait_leader(self, other_than: str = '') -> str:
        """Wait until there is a leader and return its name.

        :param other_than: name of an instance that does not count as leader
        """

        def find_leader() -> str:
            with contextlib.suppress(Exception):
                leader = self.get_client().get_status()['leader']
                return leader if leader != other_than else ''
            return ''

        return wait_for(find_leader, 'a leader')

    def wait_ready(self, name: str) -> None:
        """Wait until the readiness check of a process succeeds."""
        operators_address = self.processes[name].operators_address
        wait_for(
            lambda: (
                fetch_status_code(f'http://{operators_address}/health/ready')
                == 200
            ),
            f'{name} to be ready',
        )

    def wait_targets(self, count: int) -> None:
        """Wait until at least ``count`` targets are linked and ready."""

        def has_targets() -> bool:
            status = self.get_client().get_status()
            ready_targets = [
                target
                for target in status.get('targets', [])
                if target['is_linked'] and target['is_ready']
            ]
            return len(ready_targets) >= count

        wait_for(has_targets, f'{count} targets')


def wait_for(
    condition: collections.abc.Callable[[], typing.Any],
    description: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> typing.Any:
    """Poll until a condition is true and return its value.

    A condition that raises an error of the network or of the operators' API
    counts as false.

    :param condition: function to poll
    :param description: awaited state, for the error message
    :param timeout_s: time limit
    :raises ClusterError: if the condition does not become true in time
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError, client_module.errors.OperatorError):
            value = condition()
            if value:
                return value
        time.sleep(POLL_INTERVAL_S)
    raise ClusterError(f'timed out waiting for {description}')


def fetch_status_code(url: str) -> int:
    """Return the status code of a GET request, 0 if it fails."""
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
