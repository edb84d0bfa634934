"""A stand-in of a client: it sends one request on a channel and reads it."""

import socket
import time


class Answer:
    """What a client has of the answer to one request.

    ``is_complete`` tells whether its framing says that it is whole.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.error = ''
        self.sent_s = 0.0
        self.ended_s = 0.0

    @property
    def events(self):
        """The ids of the events of a stream, in their order."""
        return [
            int(line[3:])
            for block in self.body.split(b'\n\n')
            for line in block.split(b'\n')
            if line.startswith(b'id:')
        ]


def send(address, method, path, attempt, *, body=b'', headers=None,
         deadline_ms=8000, timeout_s=12.0):
    """Send a request on a new channel and read its answer to the end."""
    answer = Answer()
    host, port = address.split(':')
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: ficu95.example',
        f'Attempt-Id: {attempt}',
        f'Deadline-Ms: {deadline_ms}',
        *(f'{name}: {value}' for name, value in (headers or {}).items()),
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    answer.sent_s = time.monotonic()
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            _read(sock, answer)
    except OSError as error:
        answer.error = type(error).__name__
    answer.ended_s = time.monotonic()
    return answer


def _read(sock, answer):
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65536)
        if not part:
            answer.error = 'closed'
            return
        data += part
    head, _, data = data.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    answer.status = int(lines[0].split(' ')[1])
    for line in lines[1:]:
        name, _, value = line.partition(':')
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get('transfer-encoding') == 'chunked':
        _read_chunks(sock, answer, data)
        return
    length = answer.headers.get('content-length')
    while length is None or len(data) < int(length):
        part = sock.recv(65536)
        if not part:
            break
        data += part
    answer.body = data
    answer.is_complete = length is None or len(data) == int(length)


def _read_chunks(sock, answer, data):
    while True:
        line, separator, rest = data.partition(b'\r\n')
        if separator and line:
            size = int(line.split(b';')[0], 16)
            if not size:
                answer.is_complete = True
                return
            if len(rest) >= size + 2:
                answer.body += rest[:size]
                data = rest[size + 2 :]
                continue
        part = sock.recv(65536)
        if not part:
            return
        data += part
