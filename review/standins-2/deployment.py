"""Run a small deployment of the project on loopback addresses.

The programs are started with the commands of the deploy file, each with a
settings file of the platform's format in a temporary folder. The operator is a
stand-in that sends configurations as PROTOCOL.md says.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
FOLDER = pathlib.Path(__file__).resolve().parent
DEPENDENCIES = ROOT / 'target' / 'deps'
ZONES = ('rajkot', 'amreli', 'junagadh')

PASSED, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """Raised if the case can't be shown here, whatever the project does."""


def _read_commands():
    """Return the command of each role, by what the role serves."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return {
        role['serves'][0]: role['run'].split()
        for role in deploy['roles'].values()
    }


def _find_network():
    """Return a loopback network and ports that nothing listens on."""
    rng = random.Random()
    for _ in range(100):
        prefix = f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'
        first = rng.randrange(20000, 28000)
        if all(
            _is_free(f'{prefix}.{host}', first + offset)
            for host in (1, 11, 21)
            for offset in (0, 1, 2, 4, 20, 21, 22, 23)
        ):
            return prefix, first
    raise CannotRun('no free ports')


def _is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


class Record:
    """What was sent, answered and run, in the order of its time."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._start_s = time.monotonic()

    def write(self, text):
        """Write one line."""
        self._file.write(f'{time.monotonic() - self._start_s:8.3f} {text}\n')
        self._file.flush()


class Machine:
    """A machine with one of the project's processes."""

    def __init__(self, name, kind, host, zone):
        self.name = name
        self.kind = kind
        self.host = host
        self.zone = zone
        self.process = None
        self.has_started = False


class Deployment:
    """Three control replicas, some entry instances and their stand-ins."""

    def __init__(self, record, *, entries=3, settings=None):
        if not (DEPENDENCIES / 'bambooring_platform').exists():
            raise CannotRun('target/deps: run the deploy file\'s build first')
        self.record = record
        self._commands = _read_commands()
        self._more_settings = settings or {}
        self._prefix, first = _find_network()
        self.internal_port = first
        self.frontend_port = first + 20
        self.ready_port = first + 21
        self.control_port = first + 22
        self.worker_port = first + 23
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.machines = {}
        for index in range(3):
            self._add('control', index, 1 + index)
        for index in range(entries):
            self._add('edge', index, 11 + index)
        self._children = []

    def _add(self, kind, index, number):
        zone = ZONES[index % len(ZONES)]
        name = f'{"core" if kind == "control" else kind}-{zone}-{index + 1}'
        machine = Machine(name, kind, f'{self._prefix}.{number}', zone)
        self.machines[name] = machine
        return machine

    def add_agent(self, number, zone, service):
        """Add an agent beside the worker of a machine."""
        machine = Machine(
            f'side-{zone}-{number}', 'side', self.worker_host(number), zone
        )
        machine.service = service
        self.machines[machine.name] = machine
        return machine

    def worker_host(self, number):
        """Return the address of the machine of a worker."""
        return f'{self._prefix}.{20 + number}'

    def list(self, kind):
        """Return the machines of one kind."""
        return [m for m in self.machines.values() if m.kind == kind]

    @property
    def control_addresses(self):
        """The addresses at which operators and workers call."""
        return [f'{m.host}:{self.control_port}' for m in self.list('control')]

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process in [m.process for m in self.machines.values()]:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for process in self._children:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _write_settings(self, machine):
        folder = self.folder / machine.name
        folder.mkdir(exist_ok=True)
        seeds = ','.join(self.control_addresses)
        fields = {
            'nodeName': machine.name,
            'role': machine.kind,
            'serves': machine.kind,
            'ip': machine.host,
            'zone': machine.zone,
            'region': 'guj-west',
            **{f'zones.{zone}': 'guj-west' for zone in ZONES},
            'internalPorts': f'{self.internal_port},{self.internal_port + 15}',
            'seeds': seeds,
            'bootstrap': str(not machine.has_started).lower(),
            'countsAsLoss': str(machine.kind == 'control').lower(),
            'limits.cpuQuota': '0.731',
            'limits.cpuCores': '1',
            'limits.memoryMb': '222' if machine.kind == 'edge' else '296',
            'limits.maxFds': '1535',
            'discovery': 'registration',
            'entry': 'vip',
            'heartbeatMs': '1200',
            'contracts': 'base,drain,config,cost,retry,recover,stream,tenants',
            'faultTolerance.machines': '1',
            'faultTolerance.zones': '1',
            'bounds.contactMs': '3000',
            'bounds.drainMs': '2000',
            'bounds.graceS': '8',
            'bounds.revokeMs': '5000',
            'bounds.failClosed': 'true',
            'bounds.retryBudgetRatio': '0.2',
            'bounds.retryWindowS': '10',
            'bounds.retrySlack': '207',
            'configMode': 'highest',
        }
        if machine.kind == 'control':
            fields['listen.controlPlane'] = (
                f'{machine.host}:{self.control_port}'
            )
            fields['dataDir'] = str(folder / 'data')
        elif machine.kind == 'edge':
            fields['listen.frontend'] = f'{machine.host}:{self.frontend_port}'
            fields['listen.ready'] = f'{machine.host}:{self.ready_port}'
        else:
            fields['app'] = f'{machine.host}:{self.worker_port}'
            fields['service'] = machine.service
        fields |= self._more_settings
        path = folder / 'settings.conf'
        path.write_text(
            ''.join(f'{name}={value}\n' for name, value in fields.items())
        )
        return path

    def start(self, machine):
        """Start or restart the process of a machine."""
        path = self._write_settings(machine)
        machine.has_started = True
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BAMBOORING_SETTINGS'] = str(path)
        environment['PYTHONPATH'] = str(DEPENDENCIES)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self.folder / machine.name / 'log', 'ab') as log:
            machine.process = subprocess.Popen(
                self._commands[machine.kind],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write(f'{machine.name}: started')

    def start_all(self):
        """Start all processes."""
        for machine in self.machines.values():
            self.start(machine)

    def signal(self, machine, number):
        """Send a signal to the process of a machine."""
        machine.process.send_signal(number)
        self.record.write(f'{machine.name}: {signal.Signals(number).name}')

    def kill(self, machine):
        """Kill the process of a machine."""
        self.signal(machine, signal.SIGKILL)
        machine.process.wait()

    def start_worker(self, **options):
        """Start a stand-in of a worker as a process of its own."""
        options.setdefault('control', self.control_addresses)
        process = subprocess.Popen(
            [sys.executable, str(FOLDER / 'worker.py'), json.dumps(options)],
            stdin=subprocess.PIPE,
            text=True,
        )
        self._children.append(process)
        return process

    def call_control(self, method, path, body=b'', timeout_s=2.0):
        """Call the control replicas in turn until one answers clearly."""
        end_s = time.monotonic() + 20
        while time.monotonic() < end_s:
            for address in self.control_addresses:
                try:
                    status, answer = call(
                        address, method, path, body, timeout_s
                    )
                except (OSError, http.client.HTTPException):
                    continue
                if status < 500:
                    return status, answer
            time.sleep(0.1)
        raise CannotRun(f'{method} {path}: no answer')

    def publish(self, configuration):
        """Send a configuration until it is acknowledged."""
        status, answer = self.call_control(
            'PUT', '/-/config', json.dumps(configuration).encode()
        )
        self.record.write(
            f'operator: version {configuration["version"]} answered {status}'
        )
        if status != 200:
            raise CannotRun(f'configuration refused: {status} {answer!r}')

    def wait_ready(self):
        """Wait until all entry instances are ready."""
        end_s = time.monotonic() + 20
        waiting = self.list('edge')
        while waiting:
            if time.monotonic() > end_s:
                raise CannotRun('entry instances not ready')
            waiting = [m for m in waiting if not self.is_ready(m)]
            time.sleep(0.05)
        self.record.write('all entry instances are ready')

    def is_ready(self, machine):
        """Return whether an entry instance reports that it is ready."""
        try:
            status, _ = call(
                f'{machine.host}:{self.ready_port}', 'GET', '/-/readyz'
            )
        except (OSError, http.client.HTTPException):
            return False
        return status == 200


def call(address, method, path, body=b'', timeout_s=1.0):
    """Make one call on a new channel; return its status and body."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(
            method, path, body, {'Content-Type': 'application/json'}
        )
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def make_configuration(version, routes, services, tenants=None):
    """Return a configuration; routes are given as their differing fields."""
    configuration = {
        'version': version,
        'routes': [
            {
                'name': f'r-{index}',
                'hostname': 'ficu95.example',
                'routeType': 'idempotent',
                'timeoutMs': 8000,
                'targetLatencyMs': 500,
                'priority': 1,
                'maxAttempts': 2,
                'anonymous': True,
                'sessionAffinity': False,
                'streamResume': False,
                'targetItlMs': 120,
                **route,
            }
            for index, route in enumerate(routes)
        ],
        'services': [
            {
                'healthPath': '/healthz',
                'maxConnections': 356,
                'protocol': 'h1',
                'tls': False,
                **service,
            }
            for service in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }
    if tenants:
        configuration['tenants'] = tenants
    return configuration


def run_case(folder, play):
    """Play a case, with its disruption unless TROUBLE is 0, and exit."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'the disruption is {"on" if has_trouble else "off"}')
    try:
        broken = play(record, has_trouble)
    except CannotRun as error:
        record.write(f'the case could not run: {error}')
        print(f'could not run: {error}')
        sys.exit(NOT_RUN)
    for line in broken:
        record.write(f'BROKEN: {line}')
        print(line)
    record.write('the rule was broken' if broken else 'the rule held')
    sys.exit(BROKEN if broken else PASSED)
