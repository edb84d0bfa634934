"""Start and stop the processes, relays and simulated peers of one soak.

Callers reach entry instances, and all processes reach control replicas and
targets, through relays: each of these listens on one loopback address, and the
others are given the address of the relay in front of it.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import time
import types
import typing

from soak import callers as callers_module
from soak import history as history_module
from soak import relay as relay_module
from soak import targets as targets_module

ROOT = pathlib.Path(__file__).parent.parent
FAILURE_DOMAINS = ('rajkot', 'amreli', 'junagadh')
CALLERS_PORT, READY_PORT, CONTROL_PORT = 8227, 8220, 8229
FIRST_INTERNAL_PORT = 7340
TARGET_PORT = 8080
STOP_GRACE_S = 4.0
# The hundreds of the last octet: the address on which a process or target
# listens, and the address of its relay, which is announced to others.
_LISTENING, _ANNOUNCED = 1, 2
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.1


class StartupTimeoutError(Exception):
    """Raised when the entry instances are not ready in time."""


class AlreadyRunningError(Exception):
    """Raised when a process is started that is still running."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """A control or entry process, over all its restarts.

    ``host_number`` sets its loopback addresses, ``role`` is its setting
    ``serves``. An exit is unexpected while ``is_expected_to_run`` is set.
    """

    name: str
    host_number: int
    failure_domain: str
    role: str
    folder: pathlib.Path
    popen: subprocess.Popen | None = None
    is_expected_to_run: bool = True


class Cluster:
    """The processes, relays, targets and callers of one soak.

    On leaving the context everything is stopped and waited for.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        *,
        entries: int = 3,
        targets: int = 6,
        callers: int = 10,
    ) -> None:
        self.folder = folder
        self.rng = random.Random(seed)
        self.history = history_module.History()
        # The changing routes of all policies, in the order of their addition.
        self.route_names: list[str] = []
        self.api_keys = callers_module.ApiKeys({'k-1': 't-1', 'k-2': 't-2'})
        # Each run uses a loopback network of its own.
        self._network_prefix = f'127.{10 + os.getpid() % 200}.{seed % 50}'
        self._entry_count, self._control_count = entries, 3
        self._target_count, self._caller_count = targets, callers
        self.processes: dict[str, Process] = {}
        # Starts, unexpected exits and signals of processes, with the time.
        self.events: list[str] = []
        self.relays: dict[str, relay_module.Relay] = {}
        self.targets: list[targets_module.Target] = []
        self._stack = contextlib.ExitStack()
        self._caller_stack = contextlib.ExitStack()

    def _make_address(self, address_kind: int, host_number: int) -> str:
        return f'{self._network_prefix}.{address_kind * 100 + host_number}'

    def __enter__(self) -> typing.Self:
        self.folder.mkdir(parents=True, exist_ok=True)
        with contextlib.ExitStack() as stack:
            self._add_processes(stack)
            for target_index in range(self._target_count):
                self._add_target(stack, target_index)
            stack.callback(self._stop_processes)
            for process in self.processes.values():
                self.start(process, may_bootstrap=True)
            self._stack = stack.pop_all()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.stop_callers()
        self._stack.close()

    def _add_processes(self, stack: contextlib.ExitStack) -> None:
        for host_number in range(self._control_count):
            name = f'control-{host_number}'
            self._add_process(name, host_number, 'control')
            self._add_relay(
                stack, f'{name}-links', host_number, FIRST_INTERNAL_PORT
            )
            self._add_relay(stack, f'{name}-calls', host_number, CONTROL_PORT)
        for index in range(self._entry_count):
            host_number = 10 + index
            self._add_process(f'entry-{index}', host_number, 'edge')
            self._add_relay(stack, f'entry-{index}', host_number, CALLERS_PORT)

    def _add_process(self, name: str, host_number: int, role: str) -> None:
        self.processes[name] = Process(
            name=name,
            host_number=host_number,
            failure_domain=FAILURE_DOMAINS[host_number % len(FAILURE_DOMAINS)],
            role=role,
            folder=self.folder / name,
        )

    def _add_relay(
        self,
        stack: contextlib.ExitStack,
        name: str,
        host_number: int,
        port: int,
    ) -> None:
        self.relays[name] = stack.enter_context(
            relay_module.Relay(
                (self._make_address(_ANNOUNCED, host_number), port),
                (self._make_address(_LISTENING, host_number), port),
            )
        )

    def _add_target(
        self, stack: contextlib.ExitStack, target_index: int
    ) -> None:
        host_number = 20 + target_index
        self._add_relay(
            stack, f'target-{target_index}', host_number, TARGET_PORT
        )
        self.targets.append(
            stack.enter_context(self._make_target(target_index, 'ready'))
        )

    def _make_target(
        self, target_index: int, state: str
    ) -> targets_module.Target:
        host_number = 20 + target_index
        return targets_module.Target(
            service='llm' if target_index % 2 else 'app',
            address=(self._make_address(_LISTENING, host_number), TARGET_PORT),
            announced_address=(
                f'{self._make_address(_ANNOUNCED, host_number)}:{TARGET_PORT}'
            ),
            failure_domain=FAILURE_DOMAINS[
                target_index % len(FAILURE_DOMAINS)
            ],
            control_addresses=self.list_control_addresses(),
            history=self.history,
            rng=random.Random(self.rng.random()),
        )

    def replace_target(self, target_index: int) -> None:
        """Stop a target and start another one at its address."""
        self.targets[target_index].__exit__(None, None, None)
        successor = self._make_target(target_index, 'ready')
        self._stack.enter_context(successor)
        self.targets[target_index] = successor

    def list_control_addresses(self) -> list[str]:
        """Return the addresses at which control replicas accept HTTP calls."""
        return [
            f'{self._make_address(_ANNOUNCED, host_number)}:{CONTROL_PORT}'
            for host_number in range(self._control_count)
        ]

    def _write_settings(self, process: Process, *, may_bootstrap: bool) -> str:
        listening_ip = self._make_address(_LISTENING, process.host_number)
        announced_ip = self._make_address(_ANNOUNCED, process.host_number)
        is_control = process.role == 'control'
        lines = [
            f'nodeName={process.name}',
            f'serves={process.role}',
            f'ip={announced_ip if is_control else listening_ip}',
            f'zone={process.failure_domain}',
            f'listen.frontend={listening_ip}:{CALLERS_PORT}',
            f'listen.ready={listening_ip}:{READY_PORT}',
            f'listen.controlPlane={listening_ip}:{CONTROL_PORT}',
            f'internalPorts={FIRST_INTERNAL_PORT},{FIRST_INTERNAL_PORT + 15}',
            f'seeds={",".join(self.list_control_addresses())}',
            f'bootstrap={str(may_bootstrap).lower()}',
            f'dataDir={process.folder / "data"}',
            f'heartbeatMs={int(targets_module.HEARTBEAT_S * 1000)}',
            f'bounds.graceS={STOP_GRACE_S}',
            f'bounds.revokeMs={int(history_module.MAX_REVOCATION_S * 1000)}',
            'bounds.retryBudgetRatio=0.2',
            'bounds.retrySlack=200',
            *(f'zones.{domain}=gujarat' for domain in FAILURE_DOMAINS),
        ]
        if is_control:
            lines.append(f'listen.links={listening_ip}:{FIRST_INTERNAL_PORT}')
        path = process.folder / 'settings.conf'
        path.write_text('\n'.join(lines) + '\n')
        return str(path)

    def start(self, process: Process, *, may_bootstrap: bool = False) -> None:
        """Start or restart a process.

        :param may_bootstrap: whether it may form a new control group
        :raises AlreadyRunningError: if it is still running
        """
        if process.popen is not None and process.popen.poll() is None:
            raise AlreadyRunningError(process.name)
        process.folder.mkdir(exist_ok=True)
        offset_path = process.folder / 'offset'
        if not offset_path.exists():
            offset_path.write_text('0')
        environment = os.environ | {
            'BAMBOORING_SETTINGS': self._write_settings(
                process, may_bootstrap=may_bootstrap
            ),
            'PYTHONUNBUFFERED': '1',
        }
        process.is_expected_to_run = True
        with (process.folder / 'log').open('ab') as log_file:
            process.popen = subprocess.Popen(
                [sys.executable, '-m', 'soak.clock', str(offset_path)],
                stdout=log_file,
                stderr=log_file,
                env=environment,
                cwd=ROOT,
            )
        self._record_event(f'start {process.name} as {process.popen.pid}')

    def _record_event(self, event: str) -> None:
        self.events.append(f'{time.monotonic():.2f} {event}')

    def signal(self, process: Process, signal_number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        if process.popen is not None and process.popen.poll() is None:
            process.popen.send_signal(signal_number)
            self._record_event(f'{signal_number.name} to {process.popen.pid}')

    def kill(self, process: Process) -> None:
        """Kill a process and wait for its exit."""
        process.is_expected_to_run = False
        self.signal(process, signal.SIGKILL)
        if process.popen is not None:
            process.popen.wait()

    def stop(self, process: Process) -> bool:
        """Terminate a process; record a failure if it doesn't exit cleanly.

        :returns: whether it exited in time
        """
        process.is_expected_to_run = False
        self.signal(process, signal.SIGTERM)
        assert process.popen is not None
        try:
            exit_code = process.popen.wait(STOP_GRACE_S + 1)
        except subprocess.TimeoutExpired:
            self.history.failures.append(
                f'{process.name} did not stop in time'
            )
            self.kill(process)
            return False
        if exit_code != 0:
            self.history.failures.append(
                f'{process.name} stopped with exit code {exit_code}'
            )
        return True

    def delete_data(self, process: Process) -> None:
        """Delete the data folder of a control replica."""
        shutil.rmtree(process.folder / 'data', ignore_errors=True)

    def set_clock_offset(self, process: Process, offset_s: float) -> None:
        """Shift the wall clock of a process."""
        (process.folder / 'offset').write_text(str(offset_s))

    def restart_exited_processes(self) -> None:
        """Record a failure for each process that exited, and restart it."""
        for process in self.processes.values():
            popen = process.popen
            if popen is None or not process.is_expected_to_run:
                continue
            exit_code = popen.poll()
            if exit_code is not None:
                self._record_event(f'{popen.pid} exited with {exit_code}')
                self.history.failures.append(
                    f'{process.name} exited unexpectedly with {exit_code}'
                )
                self.start(process)

    def _stop_processes(self) -> None:
        for process in self.processes.values():
            process.is_expected_to_run = False
            self.signal(process, signal.SIGCONT)
            self.signal(process, signal.SIGTERM)
        for process in self.processes.values():
            if process.popen is None:
                continue
            try:
                process.popen.wait(STOP_GRACE_S + 1)
            except subprocess.TimeoutExpired:
                self.kill(process)

    def list_entries(self) -> list[Process]:
        """Return the processes of the entry instances."""
        return [
            process
            for process in self.processes.values()
            if process.role == 'edge'
        ]

    def get_callers_address(self, process: Process) -> str:
        """Return the address at which callers reach an entry instance."""
        host = self._make_address(_ANNOUNCED, process.host_number)
        return f'{host}:{CALLERS_PORT}'

    def start_callers(self) -> None:
        """Start the callers."""
        entry_addresses = [
            callers_module.EntryAddress(
                entry=process.name,
                address=self.get_callers_address(process),
            )
            for process in self.list_entries()
        ]
        for _ in range(self._caller_count):
            self._caller_stack.enter_context(
                callers_module.Caller(
                    entry_addresses=entry_addresses,
                    api_keys=self.api_keys,
                    history=self.history,
                    rng=random.Random(self.rng.random()),
                )
            )

    def stop_callers(self) -> None:
        """Stop the callers; each one finishes its current request first."""
        self._caller_stack.close()

    def is_ready(self, process: Process) -> bool:
        """Return whether an entry instance reports that it is ready."""
        address = (
            f'{self._make_address(_LISTENING, process.host_number)}'
            f':{READY_PORT}'
        )
        with contextlib.suppress(OSError):
            return (
                targets_module.send_request(address, 'GET', '/').status == 200
            )
        return False

    def wait_ready(self) -> None:
        """Wait until every entry instance is ready.

        :raises StartupTimeoutError: if they are not ready in time
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        unready = [
            process
            for process in self.processes.values()
            if process.role == 'edge'
        ]
        while unready:
            unready = [
                process for process in unready if not self.is_ready(process)
            ]
            if time.monotonic() > deadline_s:
                names = [process.name for process in unready]
                raise StartupTimeoutError(
                    f'entry instances not ready: {names}'
                )
            time.sleep(_POLL_INTERVAL_S)


def make_policy_document(
    version: int,
    accounts_by_key: dict[str, str],
    services_by_route: dict[str, str] | None = None,
) -> bytes:
    """Return a policy as a JSON document.

    :param version: the version of the policy
    :param accounts_by_key: the client account of each API key
    :param services_by_route: the services of the changing routes
    """
    keys_by_account: dict[str, list[str]] = {'t-1': [], 't-2': []}
    for api_key, account in sorted(accounts_by_key.items()):
        keys_by_account.setdefault(account, []).append(api_key)
    routes = {
        'book': ('non_idempotent', 'app'),
        'read': ('idempotent', 'app'),
        'stream': ('streaming', 'llm'),
    }
    for route_name, service in (services_by_route or {}).items():
        routes[route_name] = ('idempotent', service)
    policy = {
        'version': version,
        'routes': [
            {
                'name': route_name,
                'hostname': callers_module.HOSTNAME,
                'pathPrefix': f'/{route_name}/',
                'routeType': route_type,
                'timeoutMs': int(callers_module.REQUEST_TIMEOUT_S * 1000),
                'targetLatencyMs': 300,
                'priority': 1,
                'service': service,
                'maxAttempts': 2,
                'anonymous': False,
                'streamResume': True,
                'targetItlMs': 200,
            }
            for route_name, (route_type, service) in routes.items()
        ],
        'services': [
            {'name': 'app', 'maxConnections': 200},
            {'name': 'llm', 'maxConnections': 200},
        ],
        'limits': {'idleTimeoutMs': 15000},
        'tenants': [
            {'name': account_name, 'apiKeys': api_keys}
            for account_name, api_keys in keys_by_account.items()
        ],
    }
    return json.dumps(policy, sort_keys=True).encode()
