"""Own the processes, relays and stand-ins of one soak."""

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
from soak import ledger as ledger_module
from soak import relay as relay_module
from soak import targets as targets_module

ROOT = pathlib.Path(__file__).parent.parent
DOMAINS = ('rajkot', 'amreli', 'junagadh')
CALLERS_PORT, READY_PORT, CONTROL_PORT = 8227, 8220, 8229
FIRST_PORT = 7340
TARGET_PORT = 8080
STOP_S = 4.0
_REAL, _TOLD = 1, 2
_READY_TIMEOUT_S = 20.0
_POLL_S = 0.1


class SoakError(Exception):
    """Report a site that doesn't come up."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """Hold one of the real programs."""

    name: str
    number: int
    domain: str
    serves: str
    folder: pathlib.Path
    handle: subprocess.Popen | None = None
    is_wanted: bool = True


class Site:
    """Own everything of one run; each end is waited for."""

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
        self.ledger = ledger_module.Ledger()
        self.keys = callers_module.Keys({'k-1': 't-1', 'k-2': 't-2'})
        # A network of its own on loopback for each run.
        self._net = f'127.{10 + os.getpid() % 200}.{seed % 50}'
        self._entries, self._controls = entries, 3
        self._target_count, self._caller_count = targets, callers
        self.processes: dict[str, Process] = {}
        # Each start and end of a process, with the time.
        self.events: list[str] = []
        self.relays: dict[str, relay_module.Relay] = {}
        self.targets: list[targets_module.Target] = []
        self._stack = contextlib.ExitStack()
        self._callers = contextlib.ExitStack()

    def _address(self, kind: int, number: int) -> str:
        return f'{self._net}.{kind * 100 + number}'

    def __enter__(self) -> typing.Self:
        self.folder.mkdir(parents=True, exist_ok=True)
        with contextlib.ExitStack() as stack:
            self._add_processes(stack)
            for number in range(self._target_count):
                self._add_target(stack, number)
            stack.callback(self._end_processes)
            for process in self.processes.values():
                self.start(process, is_first=True)
            self._stack = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.end_callers()
        self._stack.close()

    def _add_processes(self, stack: contextlib.ExitStack) -> None:
        for number in range(self._controls):
            name = f'control-{number}'
            self._add_process(name, number, 'control')
            self._add_relay(stack, f'{name}-links', number, FIRST_PORT)
            self._add_relay(stack, f'{name}-calls', number, CONTROL_PORT)
        for index in range(self._entries):
            number = 10 + index
            self._add_process(f'entry-{index}', number, 'edge')
            self._add_relay(stack, f'entry-{index}', number, CALLERS_PORT)

    def _add_process(self, name: str, number: int, serves: str) -> None:
        self.processes[name] = Process(
            name=name,
            number=number,
            domain=DOMAINS[number % len(DOMAINS)],
            serves=serves,
            folder=self.folder / name,
        )

    def _add_relay(
        self, stack: contextlib.ExitStack, name: str, number: int, port: int
    ) -> None:
        self.relays[name] = stack.enter_context(
            relay_module.Relay(
                (self._address(_TOLD, number), port),
                (self._address(_REAL, number), port),
            )
        )

    def _add_target(self, stack: contextlib.ExitStack, number: int) -> None:
        place = 20 + number
        self._add_relay(stack, f'target-{number}', place, TARGET_PORT)
        self.targets.append(
            stack.enter_context(self._make_target(number, 'ready'))
        )

    def _make_target(self, number: int, state: str) -> targets_module.Target:
        place = 20 + number
        return targets_module.Target(
            service='llm' if number % 2 else 'app',
            address=(self._address(_REAL, place), TARGET_PORT),
            told_address=f'{self._address(_TOLD, place)}:{TARGET_PORT}',
            domain=DOMAINS[number % len(DOMAINS)],
            controls=self.list_controls(),
            ledger=self.ledger,
            rng=random.Random(self.rng.random()),
        )

    def replace_target(self, number: int) -> None:
        """End a target and start another at its address."""
        self.targets[number].__exit__(None, None, None)
        successor = self._make_target(number, 'ready')
        self._stack.enter_context(successor)
        self.targets[number] = successor

    def list_controls(self) -> list[str]:
        """Return where the control replicas take calls."""
        return [
            f'{self._address(_TOLD, number)}:{CONTROL_PORT}'
            for number in range(self._controls)
        ]

    def _write_settings(self, process: Process, *, is_first: bool) -> str:
        real = self._address(_REAL, process.number)
        told = self._address(_TOLD, process.number)
        is_control = process.serves == 'control'
        lines = [
            f'nodeName={process.name}',
            f'serves={process.serves}',
            f'ip={told if is_control else real}',
            f'zone={process.domain}',
            f'listen.frontend={real}:{CALLERS_PORT}',
            f'listen.ready={real}:{READY_PORT}',
            f'listen.controlPlane={real}:{CONTROL_PORT}',
            f'internalPorts={FIRST_PORT},{FIRST_PORT + 15}',
            f'seeds={",".join(self.list_controls())}',
            f'bootstrap={str(is_first).lower()}',
            f'dataDir={process.folder / "data"}',
            f'heartbeatMs={int(targets_module.HEARTBEAT_S * 1000)}',
            f'bounds.graceS={STOP_S}',
            f'bounds.revokeMs={int(ledger_module.REVOKE_S * 1000)}',
            'bounds.retryBudgetRatio=0.2',
            'bounds.retrySlack=200',
        ]
        if is_control:
            lines.append(f'listen.links={real}:{FIRST_PORT}')
        path = process.folder / 'settings.conf'
        path.write_text('\n'.join(lines) + '\n')
        return str(path)

    def start(self, process: Process, *, is_first: bool = False) -> None:
        """Start a process, or start it again."""
        process.folder.mkdir(exist_ok=True)
        offset = process.folder / 'offset'
        if not offset.exists():
            offset.write_text('0')
        environment = os.environ | {
            'BAMBOORING_SETTINGS': self._write_settings(
                process, is_first=is_first
            ),
            'PYTHONUNBUFFERED': '1',
        }
        process.is_wanted = True
        with (process.folder / 'log').open('ab') as log:
            process.handle = subprocess.Popen(
                [sys.executable, '-m', 'soak.clock', str(offset)],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        self._note(f'start {process.name} as {process.handle.pid}')

    def _note(self, event: str) -> None:
        self.events.append(f'{time.monotonic():.2f} {event}')

    def signal(self, process: Process, number: signal.Signals) -> None:
        """Send a signal to a process that still runs."""
        if process.handle is not None and process.handle.poll() is None:
            process.handle.send_signal(number)
            self._note(f'{number.name} to {process.handle.pid}')

    def kill(self, process: Process) -> None:
        """End a process at once."""
        process.is_wanted = False
        self.signal(process, signal.SIGKILL)
        if process.handle is not None:
            process.handle.wait()

    def stop(self, process: Process) -> bool:
        """Ask a process to end and wait; return whether it did in time."""
        process.is_wanted = False
        self.signal(process, signal.SIGTERM)
        assert process.handle is not None
        try:
            code = process.handle.wait(STOP_S + 1)
        except subprocess.TimeoutExpired:
            self.ledger.failures.append(f'{process.name} did not stop')
            self.kill(process)
            return False
        if code != 0:
            self.ledger.failures.append(f'{process.name} stopped with {code}')
        return True

    def wipe(self, process: Process) -> None:
        """Lose a replica's folder."""
        shutil.rmtree(process.folder / 'data', ignore_errors=True)

    def step_clock(self, process: Process, offset_s: float) -> None:
        """Let a process's time of day jump."""
        (process.folder / 'offset').write_text(str(offset_s))

    def watch(self) -> None:
        """Take note of processes that ended by themselves; start them."""
        for process in self.processes.values():
            handle = process.handle
            if handle is None or not process.is_wanted:
                continue
            code = handle.poll()
            if code is not None:
                self._note(f'{handle.pid} ended with {code}')
                self.ledger.failures.append(
                    f'{process.name} ended by itself with {code}'
                )
                self.start(process)

    def _end_processes(self) -> None:
        for process in self.processes.values():
            process.is_wanted = False
            self.signal(process, signal.SIGCONT)
            self.signal(process, signal.SIGTERM)
        for process in self.processes.values():
            if process.handle is None:
                continue
            try:
                process.handle.wait(STOP_S + 1)
            except subprocess.TimeoutExpired:
                self.kill(process)

    def begin_callers(self) -> None:
        """Let the callers begin."""
        doors = [
            callers_module.Door(
                entry=process.name,
                address=(
                    f'{self._address(_TOLD, process.number)}:{CALLERS_PORT}'
                ),
            )
            for process in self.processes.values()
            if process.serves == 'edge'
        ]
        for _ in range(self._caller_count):
            self._callers.enter_context(
                callers_module.Caller(
                    doors=doors,
                    keys=self.keys,
                    ledger=self.ledger,
                    rng=random.Random(self.rng.random()),
                )
            )

    def end_callers(self) -> None:
        """Let each caller take its last answer."""
        self._callers.close()

    def is_ready(self, process: Process) -> bool:
        """Ask an entry instance whether it is ready."""
        address = f'{self._address(_REAL, process.number)}:{READY_PORT}'
        with contextlib.suppress(OSError):
            return targets_module.call(address, 'GET', '/').status == 200
        return False

    def wait_ready(self) -> None:
        """Wait until every entry instance is ready.

        :raises SoakError: if that takes too long
        """
        end_s = time.monotonic() + _READY_TIMEOUT_S
        waiting = [
            one for one in self.processes.values() if one.serves == 'edge'
        ]
        while waiting:
            waiting = [one for one in waiting if not self.is_ready(one)]
            if time.monotonic() > end_s:
                names = [one.name for one in waiting]
                raise SoakError(f'not ready: {names}')
            time.sleep(_POLL_S)


def make_policy(version: int, keys: dict[str, str]) -> bytes:
    """Return a policy's document.

    :param version: its version
    :param keys: the account of each key
    """
    accounts: dict[str, list[str]] = {'t-1': [], 't-2': []}
    for key, account in sorted(keys.items()):
        accounts[account].append(key)
    kinds = {
        'book': ('non_idempotent', 'app'),
        'read': ('idempotent', 'app'),
        'stream': ('streaming', 'llm'),
    }
    value = {
        'version': version,
        'routes': [
            {
                'name': kind,
                'hostname': callers_module.HOST,
                'pathPrefix': callers_module.PATHS[kind],
                'routeType': route_type,
                'timeoutMs': int(callers_module.TIME_LEFT_S * 1000),
                'targetLatencyMs': 300,
                'priority': 1,
                'service': service,
                'maxAttempts': 2,
                'anonymous': False,
                'streamResume': True,
                'targetItlMs': 200,
            }
            for kind, (route_type, service) in kinds.items()
        ],
        'services': [
            {'name': 'app', 'maxConnections': 200},
            {'name': 'llm', 'maxConnections': 200},
        ],
        'limits': {'idleTimeoutMs': 15000},
        'tenants': [
            {'name': name, 'apiKeys': found}
            for name, found in accounts.items()
        ],
    }
    return json.dumps(value, sort_keys=True).encode()
