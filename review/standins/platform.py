"""Stand-ins for the platform, its servers, its operator and its clients.

Only the standard library is used. The project's own programs run as separate
processes with the command of the deploy file; all addresses are loopback
addresses, and every file is in a temporary folder.
"""

import asyncio
import contextlib
import errno
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('rajkot', 'amreli', 'junagadh')
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
HEARTBEAT_S = 1.2

# The command of the three roles in deploy/system.toml.
COMMAND = ['python3', '-m', 'bambooring_platform']


class CannotRunError(Exception):
    """The case can't be set up on this machine."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._start = time.monotonic()

    def __call__(self, text):
        line = f'{time.monotonic() - self._start:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()


def _find_ports(network, hosts, count):
    """Return the first of some consecutive ports that all hosts have free."""
    for _ in range(50):
        first = random.randrange(21000, 29000, 32)
        try:
            for host in hosts:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.bind((f'{network}.{host}', port))
            return first
        except OSError:
            continue
    raise CannotRunError('no free ports')


class Machine:
    def __init__(self, name, role, host, zone):
        self.name, self.role, self.host, self.zone = name, role, host, zone
        self.popen = None
        self.is_ended = False


class Deployment:
    """Control replicas and entry instances as separate processes."""

    def __init__(self, record, *, edges=1, cores=3, limits=None, bounds=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.network = f'127.{random.randrange(30, 240)}.{random.randrange(1, 250)}'
        # Some addresses are kept for core machines that are added later.
        hosts = list(range(1, 1 + cores + 9)) + list(range(20, 20 + edges))
        hosts.append(200)
        first = _find_ports(self.network, hosts, 24)
        self.frontend, self.ready, self.control = first, first + 1, first + 2
        self.internal = first + 4
        self.limits = {'memoryMb': 222} | (limits or {})
        self.bounds = {
            'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
            'catchUpS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
            'configApplyMs': 2000, 'downgradeSlackMs': 250, 'stretchMs': 5000,
            'failClosed': 'true', 'revokeMs': 5000, 'retryBudgetRatio': 0.2,
            'retryWindowS': 10, 'retrySlack': 207, 'recoveryS': 12,
        } | (bounds or {})
        self.machines = {}
        self._added, self._first_added = 0, cores
        # What all servers have begun to run.
        self.all_runs = []
        for index in range(cores):
            name = f'core-{ZONES[index % 3]}-{index // 3 + 1}'
            self.machines[name] = Machine(
                name, 'control', 1 + index, ZONES[index % 3]
            )
        for index in range(edges):
            name = f'edge-{ZONES[index % 3]}-{index // 3 + 1}'
            self.machines[name] = Machine(
                name, 'edge', 20 + index, ZONES[index % 3]
            )

    @property
    def cores(self):
        return [m for m in self.machines.values() if m.role == 'control']

    @property
    def edges(self):
        return [m for m in self.machines.values() if m.role == 'edge']

    def ip(self, machine):
        return f'{self.network}.{machine.host}'

    def seeds(self):
        return ','.join(f'{self.ip(m)}:{self.control}' for m in self.cores[:3])

    def write_settings(self, machine, bootstrap):
        ip = self.ip(machine)
        lines = [
            f'nodeName={machine.name}', f'role={machine.role}',
            f'machineClass={"core" if machine.role == "control" else "edge"}',
            f'serves={machine.role}', f'ip={ip}', f'zone={machine.zone}',
            'region=guj-west',
            *[f'zones.{zone}=guj-west' for zone in ZONES],
        ]
        if machine.role == 'control':
            lines.append(f'listen.controlPlane={ip}:{self.control}')
            lines.append(f'dataDir={self.folder / machine.name}')
        else:
            lines.append(f'listen.frontend={ip}:{self.frontend}')
            lines.append(f'listen.ready={ip}:{self.ready}')
        lines += [
            f'internalPorts={self.internal},{self.internal + 15}',
            f'seeds={self.seeds()}',
            f'bootstrap={"true" if bootstrap else "false"}',
            'countsAsLoss=false', 'limits.cpuQuota=0.731', 'limits.cpuCores=1',
            f'limits.memoryMb={self.limits["memoryMb"]}', 'limits.maxFds=1535',
            'limits.linkMbps=350.0', 'limits.diskMb=128',
            'discovery=registration', 'entry=vip',
            f'heartbeatMs={int(HEARTBEAT_S * 1000)}',
            'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants',
            'faultTolerance.machines=1', 'faultTolerance.zones=1',
            'faultTolerance.regions=0',
            *[f'bounds.{name}={value}' for name, value in self.bounds.items()],
            'configMode=highest',
        ]
        path = self.folder / f'{machine.name}.conf'
        path.write_text('\n'.join(lines) + '\n')
        return path

    def start(self, machine, bootstrap=False):
        if machine.role == 'control':
            (self.folder / machine.name).mkdir(exist_ok=True)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BAMBOORING_SETTINGS'] = str(
            self.write_settings(machine, bootstrap)
        )
        with (self.folder / f'{machine.name}.log').open('ab') as log:
            machine.popen = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        machine.is_ended = False
        self.record(f'platform: start {machine.name} pid {machine.popen.pid}')

    def add_core(self, zone):
        """Add a core machine with an empty disk at a new address."""
        self._added += 1
        host = self._first_added + self._added
        name = f'core-{zone}-{host}'
        machine = Machine(name, 'control', host, zone)
        self.machines[name] = machine
        self.start(machine)
        return machine

    async def remove(self, machine):
        """Stop a machine by SIGTERM; it never comes back."""
        self.signal(machine, signal.SIGTERM)
        try:
            await asyncio.to_thread(
                machine.popen.wait, self.bounds['graceS']
            )
        except subprocess.TimeoutExpired:
            machine.popen.kill()
            machine.popen.wait()
        self.record(f'platform: {machine.name} is gone for good')
        del self.machines[machine.name]

    def signal(self, machine, number):
        if machine.popen is not None and machine.popen.poll() is None:
            self.record(f'platform: {number.name} to {machine.name}')
            machine.popen.send_signal(number)

    def start_all(self):
        if not (ROOT / 'target' / 'deps' / 'bambooring_platform').exists():
            raise CannotRunError('the deploy file has not been built')
        for machine in self.machines.values():
            self.start(machine, bootstrap=True)

    def read_log(self, machine):
        return (self.folder / f'{machine.name}.log').read_text(errors='replace')

    def close(self):
        for machine in self.machines.values():
            if machine.popen is not None and machine.popen.poll() is None:
                machine.popen.send_signal(signal.SIGCONT)
                machine.popen.kill()
            if machine.popen is not None:
                machine.popen.wait()
        if os.environ.get('KEEP'):
            print('kept', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, timeout_s=25):
        end = time.monotonic() + timeout_s
        for machine in self.edges:
            while True:
                try:
                    answer = await call(
                        self.ip(machine), self.ready, 'GET', '/-/readyz'
                    )
                    if answer.status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise CannotRunError(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)
        self.record('platform: all edge machines are ready')


class Answer:
    """What a client got: ``ending`` is complete, cut, reset or silent."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.ending = 'silent'

    @property
    def digest(self):
        return hashlib.sha256(self.body).hexdigest()[:12]


async def read_answer(reader, method='GET'):
    """Read one answer; its ending tells whether it is complete."""
    answer = Answer()
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        answer.ending = 'closed' if not error.partial else 'cut'
        return answer
    except ConnectionError:
        answer.ending = 'reset'
        return answer
    lines = head.decode('latin-1').split('\r\n')
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            answer.headers[name.lower()] = value.strip()
    body = bytearray()
    try:
        if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                if not size:
                    while (await reader.readuntil(b'\r\n')) != b'\r\n':
                        pass
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif 'content-length' in answer.headers:
            left = int(answer.headers['content-length'])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(bytes(body), None)
                body += data
                left -= len(data)
        else:
            while data := await reader.read(65536):
                body += data
        answer.ending = 'complete'
    except asyncio.IncompleteReadError as error:
        body += error.partial if not body else b''
        answer.ending = 'cut'
    except ConnectionError:
        answer.ending = 'reset'
    answer.body = bytes(body)
    return answer


def write_request(method, path, headers, body):
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method not in ('GET', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def call(ip, port, method, path, body=b'', timeout_s=2.0, headers=None):
    """Make one call on a channel of its own."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(
                write_request(
                    method, path,
                    {'Host': f'{ip}:{port}', 'Content-Type': 'application/json'}
                    | (headers or {}),
                    body,
                )
            )
            await writer.drain()
            return await read_answer(reader, method)
        finally:
            writer.close()


class Operator:
    def __init__(self, deployment):
        self.deployment = deployment
        self.version = 0

    async def publish(self, document, timeout_s=10):
        """Send a configuration to one core machine after the other."""
        body = json.dumps(document, separators=(',', ':')).encode()
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for machine in self.deployment.cores:
                try:
                    answer = await call(
                        self.deployment.ip(machine), self.deployment.control,
                        'PUT', '/-/config', body, timeout_s=3.5,
                    )
                except (OSError, TimeoutError):
                    continue
                if answer.status == 200:
                    self.deployment.record(
                        f'operator: version {document["version"]} confirmed'
                    )
                    return
            await asyncio.sleep(0.2)
        raise CannotRunError('the configuration was not confirmed')


    async def read(self, timeout_s):
        """Read the configuration at any core machine, again and again.

        Returns its version, None if it doesn't come.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for machine in self.deployment.cores:
                try:
                    answer = await call(
                        self.deployment.ip(machine), self.deployment.control,
                        'GET', '/-/config', timeout_s=2.5,
                    )
                except (OSError, TimeoutError):
                    continue
                self.deployment.record(
                    f'operator: read at {machine.name}: {answer.status}'
                )
                if answer.status == 200:
                    return json.loads(answer.body)['version']
            await asyncio.sleep(0.3)
        return None


def make_config(version, services, routes, limits=None):
    """Return a configuration like that of the pages."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'healthPath': '/healthz', 'maxConnections': 356,
             'protocol': 'h1', 'tls': False}
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        } | (limits or {}),
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    }


def make_route(name, prefix, kind, service, timeout_ms=8000, **more):
    return {
        'name': name, 'hostname': HOST, 'pathPrefix': prefix, 'routeType': kind,
        'timeoutMs': timeout_ms, 'targetLatencyMs': 502, 'priority': 1,
        'service': service, 'maxAttempts': 2, 'anonymous': False,
    } | more


class Run:
    """One request that a server began to run."""

    def __init__(self, server, attempt_id, method, path, headers, body):
        self.server, self.attempt_id = server, attempt_id
        self.method, self.path = method, path
        self.headers, self.body = headers, body
        self.at = time.monotonic()


class Server:
    """A back end: HTTP/1.1, one request at a time on a channel, liveness.

    ``serve`` is awaited with the run and the writer, and writes the answer.
    """

    def __init__(self, deployment, service, host, port, zone, serve, slots=6):
        self.deployment, self.service = deployment, service
        self.ip, self.port, self.zone = f'{deployment.network}.{host}', port, zone
        self.serve = serve
        self.slots = slots
        self.id = f'i-{random.randrange(16**8):08x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.runs = []
        self._tasks = set()
        self._server = None
        self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, limit=2**17, reuse_address=True
        )
        self._beats = asyncio.ensure_future(self._send_beats())

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    async def _handle(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        method, path, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(':')
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        attempt_id = headers.get('attempt-id', '')
        if headers.get('expect-instance', self.id) != self.id:
            writer.write(
                b'HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            await writer.drain()
            return
        run = Run(self, attempt_id, method, path, headers, body)
        self.runs.append(run)
        self.deployment.all_runs.append(run)
        self.deployment.record(
            f'server {self.id}: runs {attempt_id} {method} {path}'
            f' ({len(body)} bytes)'
        )
        await self.serve(run, writer)

    async def beat(self, core=None):
        """Send one liveness report; return whether it was confirmed."""
        self.sequence += 1
        body = json.dumps(
            {'service': self.service, 'address': f'{self.ip}:{self.port}',
             'zone': self.zone, 'version': 'v1', 'slots': self.slots,
             'state': self.state, 'coldRemainingMs': 0,
             'sequence': self.sequence, 'born': self.born}
        ).encode()
        cores = [core] if core else random.sample(
            self.deployment.cores, len(self.deployment.cores)
        )
        for machine in cores:
            try:
                answer = await call(
                    self.deployment.ip(machine), self.deployment.control, 'PUT',
                    f'/-/instances/{self.id}', body, timeout_s=1.0,
                )
            except (OSError, TimeoutError):
                continue
            if 200 <= answer.status < 300:
                return True
        return False

    async def _send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def close(self):
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


def sign(run, body):
    """Return the MAC that a server adds to its answer."""
    return hashlib.sha256(run.attempt_id.encode() + body).hexdigest()[:24]


async def answer_plain(run, writer, body, status='200 OK', more=()):
    lines = [
        f'HTTP/1.1 {status}', f'Attempt-Id: {run.attempt_id}',
        f'Server-Signature: {sign(run, body)}', 'Content-Type: text/plain',
        f'Content-Length: {len(body)}', *more,
    ]
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
    await writer.drain()


class Client:
    """A client with one kept channel to one edge machine."""

    def __init__(self, deployment, machine):
        self.deployment, self.machine = deployment, machine
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.deployment.ip(self.machine), self.deployment.frontend,
            limit=2**18,
        )

    async def request(
        self, method, path, body=b'', deadline_ms=8000, attempt_id=None,
        headers=None, timeout_s=None,
    ):
        attempt_id = attempt_id or f'{random.randrange(16**16):016x}'
        if self.writer is None:
            await self.open()
        self.deployment.record(
            f'client: sends {attempt_id} {method} {path} ({len(body)} bytes)'
            f' to {self.machine.name}'
        )
        answer = Answer()
        try:
            self.writer.write(
                write_request(
                    method, path,
                    {'Host': HOST, 'Attempt-Id': attempt_id,
                     'Deadline-Ms': str(deadline_ms),
                     'Authorization': f'Token {KEY}'} | (headers or {}),
                    body,
                )
            )
            await self.writer.drain()
            async with asyncio.timeout(timeout_s or deadline_ms / 1000 + 1):
                answer = await read_answer(self.reader, method)
        except TimeoutError:
            answer.ending = 'silent'
        except ConnectionError:
            answer.ending = 'reset'
        answer.attempt_id = attempt_id
        self.deployment.record(
            f'client: {attempt_id} got {answer.status} {answer.ending}'
            f' {len(answer.body)} bytes, sha256 {answer.digest}'
        )
        if answer.ending != 'complete' or 'close' in answer.headers.get(
            'connection', ''
        ):
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def main(folder, scenario, **options):
    """Run a scenario; exit with 1 if the rule was broken, 0 if it held."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'trouble: {has_trouble}')
    deployment = None
    try:
        deployment = Deployment(record, **options)
        deployment.start_all()

        async def run():
            async with asyncio.timeout(110):
                return await scenario(deployment, has_trouble)

        broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        record(f'cannot run: {error!r}')
        print(f'cannot run: {error!r}', file=sys.stderr)
        return 2
    finally:
        if deployment is not None:
            deployment.close()
    record('rule broken: ' + broken if broken else 'rule held')
    print('broken: ' + broken if broken else 'held')
    return 1 if broken else 0
