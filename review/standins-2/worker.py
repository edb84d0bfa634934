"""A stand-in of a worker, as a process of its own.

It takes one argument, a JSON object (see ``Worker``), writes what it does to
the file ``log`` as JSON lines and takes orders on standard input:

    drain   report that it is draining; serve on
    delete  withdraw its entry
    exit    end once all its answers are sent

It behaves as PROTOCOL.md says: it checks the expected id, echoes the id of the
request, queues what its slots can't take, refuses what its queue can't, and
drops a request whose channel closes.
"""

import json
import os
import random
import select
import socket
import sys
import threading
import time

CALL_TIMEOUT_S = 1.0


class Worker:
    """One worker.

    Options: ``id``, ``service``, ``zone``, ``host``, ``port``, ``control`` (the
    addresses for reports), ``log``; ``slots``, ``queue``, ``heartbeat_s``,
    ``first_report_s`` (how late its first report arrives), ``cold_s``,
    ``kind`` (plain or stream), ``framing`` (length, chunked or none),
    ``work_s`` (until the answer begins), ``pieces`` and ``gap_s`` (how the
    body or the events are written), ``body_bytes``; ``deadly_target``: a request
    for it crashes the worker once it has written the first piece of its answer.
    """

    def __init__(self, options):
        self.o = {
            'slots': 6,
            'queue': 24,
            'heartbeat_s': 1.2,
            'first_report_s': 0.0,
            'cold_s': 0.0,
            'kind': 'plain',
            'framing': 'length',
            'work_s': 0.045,
            'pieces': 1,
            'gap_s': 0.0,
            'body_bytes': 800,
            'deadly_target': '',
            **options,
        }
        self.started_s = time.monotonic()
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.sequence = 0
        self.lock = threading.Lock()
        self.running = 0
        self.waiting = 0
        self.slot_free = threading.Condition(self.lock)
        self.is_ending = False
        self.report_now = threading.Event()
        self.log_file = open(self.o['log'], 'a')

    def log(self, event, **fields):
        line = {'at': time.monotonic(), 'event': event, 'id': self.o['id']}
        with self.lock:
            self.log_file.write(json.dumps(line | fields) + '\n')
            self.log_file.flush()

    # Reports

    def report_forever(self):
        time.sleep(self.o['first_report_s'])
        while not self.is_ending:
            self.report()
            self.report_now.wait(self.o['heartbeat_s'])
            self.report_now.clear()

    def report(self):
        self.sequence += 1
        state = self.state
        cold_s = self.o['cold_s'] - (time.monotonic() - self.started_s)
        entry = {
            'service': self.o['service'],
            'address': f'{self.o["host"]}:{self.o["port"]}',
            'zone': self.o['zone'],
            'version': 'v1',
            'slots': self.o['slots'],
            'state': state,
            'coldRemainingMs': max(0, int(cold_s * 1000)),
            'sequence': self.sequence,
            'born': self.born,
        }
        status = self.call_control('PUT', entry)
        self.log('report', state=state, status=status, entry=entry)
        if status and state == 'draining':
            self.log('draining acknowledged')

    def call_control(self, method, entry):
        path = f'/-/instances/{self.o["id"]}'
        body = json.dumps(entry).encode()
        addresses = list(self.o['control'])
        random.shuffle(addresses)
        for address in addresses:
            host, port = address.split(':')
            try:
                with socket.create_connection(
                    (host, int(port)), CALL_TIMEOUT_S
                ) as sock:
                    sock.settimeout(CALL_TIMEOUT_S)
                    sock.sendall(
                        f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
                        'Content-Type: application/json\r\n'
                        f'Content-Length: {len(body)}\r\n'
                        'Connection: close\r\n\r\n'.encode()
                        + body
                    )
                    answer = sock.recv(4096)
            except OSError:
                continue
            if answer.startswith(b'HTTP/1.1 2'):
                return int(answer[9:12])
        return 0

    # Requests

    def serve(self):
        listener = socket.create_server(
            (self.o['host'], self.o['port']), backlog=256
        )
        threading.Thread(target=self.report_forever, daemon=True).start()
        threading.Thread(target=self.take_orders, daemon=True).start()
        self.log('listens')
        while True:
            sock, _ = listener.accept()
            threading.Thread(
                target=self.handle, args=(sock,), daemon=True
            ).start()

    def handle(self, sock):
        with sock:
            try:
                sock.settimeout(10)
                request = read_request(sock)
                if request is not None:
                    self.answer(sock, *request)
            except OSError:
                pass

    def answer(self, sock, method, target, headers, body):
        arrived_s = time.monotonic()
        attempt = headers.get('attempt-id', '')
        expected = headers.get('expect-instance')
        if expected and expected != self.o['id']:
            self.log('misdirected', attempt=attempt)
            self.send_head(sock, '421 Misdirected Request', attempt, [
                ('Not-Executed', '1'), ('Content-Length', '0')], False)
            return
        if target == '/healthz':
            self.send_health(sock)
            return
        with self.lock:
            if self.running + self.waiting >= (
                self.o['slots'] + self.o['queue']
            ):
                is_full = True
            else:
                is_full = False
                self.waiting += 1
        if is_full:
            self.log('full', attempt=attempt)
            self.send_head(sock, '503 Service Unavailable', attempt, [
                ('Not-Executed', '1'), ('Content-Length', '0')], False)
            return
        with self.slot_free:
            while self.running >= self.o['slots']:
                self.slot_free.wait()
            self.waiting -= 1
            self.running += 1
        try:
            self.run(sock, method, target, headers, body, arrived_s)
        finally:
            with self.slot_free:
                self.running -= 1
                self.slot_free.notify()

    def send_health(self, sock):
        cold_s = self.o['cold_s'] - (time.monotonic() - self.started_s)
        is_good = self.state == 'ready'
        more = [('Instance-Id', self.o['id']), ('Content-Length', '0')]
        if cold_s > 0:
            more.append(('Cold-Ms', str(int(cold_s * 1000))))
        self.send_head(
            sock, '200 OK' if is_good else '503 Service Unavailable', '',
            more, False,
        )

    def send_head(self, sock, status, attempt, more, is_signed):
        lines = [f'HTTP/1.1 {status}']
        if attempt:
            lines.append(f'Attempt-Id: {attempt}')
        if is_signed:
            lines.append(f'Server-Signature: s.{self.o["id"]}.{attempt}')
        if self.state == 'draining':
            lines.append('Server-Leaving: 1')
        lines.append('Connection: close')
        lines += [f'{name}: {value}' for name, value in more]
        sock.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode())

    def run(self, sock, method, target, headers, body, arrived_s):
        attempt = headers.get('attempt-id', '')
        if is_closed(sock):
            return
        self.log(
            'run', attempt=attempt, target=target, arrived=arrived_s,
            last_event=headers.get('last-event-id'),
        )
        if wait(sock, self.o['work_s']):
            self.log('dropped', attempt=attempt)
            return
        if self.o['kind'] == 'stream':
            pieces = self.make_events(headers)
            more = [('Content-Type', 'text/event-stream')]
        else:
            pieces = self.make_pieces(attempt)
            more = [('Content-Type', 'application/octet-stream')]
        framing = self.o['framing']
        if framing == 'length':
            size = sum(len(piece) for piece in pieces)
            more.append(('Content-Length', str(size)))
        elif framing == 'chunked':
            more.append(('Transfer-Encoding', 'chunked'))
        self.send_head(sock, '200 OK', attempt, more, True)
        for index, piece in enumerate(pieces):
            if index and wait(sock, self.o['gap_s']):
                self.log('dropped', attempt=attempt)
                return
            if framing == 'chunked':
                piece = b'%x\r\n%b\r\n' % (len(piece), piece)
            sock.sendall(piece)
            if target == self.o['deadly_target']:
                self.log('crash', attempt=attempt)
                os._exit(1)
        if framing == 'chunked':
            sock.sendall(b'0\r\n\r\n')
        self.log('done', attempt=attempt)

    def make_events(self, headers):
        first = int(headers.get('last-event-id') or 0) + 1
        attempt = headers.get('attempt-id', '')
        return [
            f'id: {number}\ndata: {{"t":"{"x" * 40}"}}\n\n'.encode()
            for number in range(first, self.o['pieces'] + 1)
        ]

    def make_pieces(self, attempt):
        size = self.o['body_bytes']
        text = (attempt.encode() * (size // max(1, len(attempt)) + 1))[:size]
        count = self.o['pieces']
        step = -(-size // count)
        return [text[at : at + step] for at in range(0, size, step)]

    # Orders

    def take_orders(self):
        for line in sys.stdin:
            order = line.strip()
            self.log('order', order=order)
            if order == 'drain':
                self.state = 'draining'
                self.report_now.set()
            elif order == 'delete':
                self.is_ending = True
                status = self.call_control('DELETE', {'born': self.born})
                self.log('withdrawn', status=status)
            elif order == 'exit':
                while self.running or self.waiting:
                    time.sleep(0.01)
                time.sleep(0.05)
                sys.exit(0)


def read_request(sock):
    """Return the method, target, headers and body of a request."""
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    while len(body) < length:
        part = sock.recv(65536)
        if not part:
            return None
        body += part
    return method, target, headers, body


def is_closed(sock):
    """Return whether the peer has closed its channel."""
    return wait(sock, 0.0)


def wait(sock, duration_s):
    """Wait; return whether the peer has closed its channel meanwhile."""
    end_s = time.monotonic() + duration_s
    while True:
        left_s = max(0.0, end_s - time.monotonic())
        readable, _, _ = select.select([sock], [], [], left_s)
        if readable:
            try:
                return not sock.recv(1, socket.MSG_PEEK)
            except OSError:
                return True
        if left_s <= 0:
            return False


if __name__ == '__main__':
    Worker(json.loads(sys.argv[1])).serve()
