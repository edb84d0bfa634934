"""Stand in for a model engine with the chat-completions interface.

It answers one token an interval, whole or as server-sent events. A prompt
that holds the crash word ends the process, as some requests do.
"""

import contextlib
import dataclasses
import heapq
import itertools
import json
import os
import queue
import socket
import threading
import time

import click
import werkzeug.wrappers

from bambooring_core import http
from bambooring_core import links

CRASH_WORD = 'crash-the-engine'
DEFAULT_TOKENS = 16
THREADS = 400

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response


@dataclasses.dataclass(slots=True, kw_only=True)
class _Paced:
    """Hold a stream that the pacer writes."""

    sock: socket.socket
    left: int
    written: int = 0
    done: queue.SimpleQueue = dataclasses.field(
        default_factory=queue.SimpleQueue
    )


class _Pacer:
    """Write the tokens of all streams from one thread, each at its time."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._new: queue.SimpleQueue = queue.SimpleQueue()
        self._due: list[tuple[float, int, _Paced]] = []
        self._numbers = itertools.count()
        threading.Thread(target=self._run, daemon=True).start()

    def write(self, sock: socket.socket, count: int) -> bool:
        """Write a stream; False if the other end is gone."""
        paced = _Paced(sock=sock, left=count)
        self._new.put(paced)
        return paced.done.get()

    def _run(self) -> None:
        while True:
            self._take_new()
            while self._due and self._due[0][0] <= time.monotonic():
                due, _, paced = heapq.heappop(self._due)
                self._write(due, paced)

    def _take_new(self) -> None:
        wait_s = None
        if self._due:
            wait_s = max(0.0, self._due[0][0] - time.monotonic())
        with contextlib.suppress(queue.Empty):
            self._add(self._new.get(timeout=wait_s))
            while True:
                self._add(self._new.get_nowait())

    def _add(self, paced: _Paced) -> None:
        due = time.monotonic() + self._interval_s
        heapq.heappush(self._due, (due, next(self._numbers), paced))

    def _write(self, due: float, paced: _Paced) -> None:
        event = _make_event(f'word{paced.written} ')
        chunk = b'%x\r\n%b\r\n' % (len(event), event)
        paced.written += 1
        try:
            os.write(paced.sock.fileno(), chunk)
        except OSError:
            paced.done.put(False)
            return
        if paced.written >= paced.left:
            paced.done.put(True)
            return
        due += self._interval_s
        heapq.heappush(self._due, (due, next(self._numbers), paced))


class Engine:
    """Answer chat requests and count them."""

    def __init__(self, name: str, interval_s: float) -> None:
        self._name = name
        self._interval_s = interval_s
        self._pacer = _Pacer(interval_s)
        self._lock = threading.Lock()
        self._counts = {'started': 0, 'finished': 0, 'running': 0}

    def __call__(self, environ, start_response):
        """Answer one request."""
        request = Request(environ)
        return self._answer(request)(environ, start_response)

    def _answer(self, request: Request) -> Response:
        if request.path == '/health':
            return Response('well\n')
        if request.path == '/counts':
            return Response(json.dumps(self._counts))
        body = json.loads(request.get_data())
        if CRASH_WORD in json.dumps(body):
            os._exit(1)
        count = int(body.get('max_tokens', DEFAULT_TOKENS))
        if body.get('stream'):
            return Response(
                self._stream(request.environ, count),
                content_type='text/event-stream',
            )
        tokens = self._generate(count)
        text = ''.join(token for token in tokens if token is not None)
        message = {'role': 'assistant', 'content': text}
        answer = {
            'object': 'chat.completion',
            'model': body.get('model'),
            'choices': [{'index': 0, 'message': message}],
        }
        return Response(json.dumps(answer), content_type='application/json')

    def _stream(self, environ: dict, count: int):
        """Let the pacer write the tokens, then yield the end."""
        self._count('started', 1)
        self._count('running', 1)
        try:
            environ[http.SEND_HEAD_KEY]()
            if not self._pacer.write(environ[http.SOCKET_KEY], count):
                return
            self._count('finished', 1)
            yield _make_event(None)
        finally:
            self._count('running', -1)

    def _generate(self, count: int):
        """Yield tokens at a steady pace, and None at the end."""
        self._count('started', 1)
        self._count('running', 1)
        try:
            due = time.monotonic()
            for index in range(count):
                due += self._interval_s
                time.sleep(max(0.0, due - time.monotonic()))
                yield f'word{index} '
            self._count('finished', 1)
            yield None
        finally:
            self._count('running', -1)

    def _count(self, name: str, change: int) -> None:
        with self._lock:
            self._counts[name] += change


def _make_event(token: str | None) -> bytes:
    if token is None:
        return b'data: [DONE]\n\n'
    choice = {'index': 0, 'delta': {'content': token}}
    event = {'object': 'chat.completion.chunk', 'choices': [choice]}
    return b'data: ' + json.dumps(event).encode() + b'\n\n'


@click.command()
@click.option('--name', default='engine')
@click.option('--listen', required=True, help='IP:PORT')
@click.option('--interval-ms', default=36.0, show_default=True)
def main(name: str, listen: str, interval_ms: float) -> None:
    """Run a stand-in for a model engine."""
    with http.HttpServer(
        address=links.split_address(listen),
        application=Engine(name, interval_ms / 1000),
        threads=THREADS,
        max_body_bytes=16 * 1024 * 1024,
    ):
        for _ in itertools.repeat(None):
            time.sleep(3600)


if __name__ == '__main__':
    main()
