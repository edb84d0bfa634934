"""Simulate a model engine with the chat completions API.

The engine generates one token per interval and responds with one JSON body
or with server-sent events. A request that contains the crash marker ends the
process, as some requests crash a real engine.
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

CRASH_MARKER = 'crash-the-engine'
DEFAULT_MAX_TOKENS = 16
THREAD_COUNT = 400

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response


@dataclasses.dataclass(slots=True, kw_only=True)
class _PacedStream:
    """Event stream that the pacer is writing to a socket.

    ``results`` receives one item at the end: True once all tokens are
    written, False if the connection is gone.
    """

    sock: socket.socket
    token_count: int
    written_count: int = 0
    results: queue.SimpleQueue = dataclasses.field(
        default_factory=queue.SimpleQueue
    )


class _TokenPacer:
    """Write the tokens of all streams from one thread, each when due."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._new_streams: queue.SimpleQueue = queue.SimpleQueue()
        self._schedule: list[tuple[float, int, _PacedStream]] = []
        self._sequence_numbers = itertools.count()
        threading.Thread(target=self._run, daemon=True).start()

    def write_stream(self, sock: socket.socket, token_count: int) -> bool:
        """Write all tokens of a stream and block until they are written.

        :param sock: socket of the connection
        :param token_count: number of tokens
        :returns: False if the connection is gone
        """
        stream = _PacedStream(sock=sock, token_count=token_count)
        self._new_streams.put(stream)
        return stream.results.get()

    def _run(self) -> None:
        while True:
            self._admit_new_streams()
            while self._schedule and self._schedule[0][0] <= time.monotonic():
                due_s, _, stream = heapq.heappop(self._schedule)
                self._write_token(due_s, stream)

    def _admit_new_streams(self) -> None:
        wait_s = None
        if self._schedule:
            wait_s = max(0.0, self._schedule[0][0] - time.monotonic())
        with contextlib.suppress(queue.Empty):
            self._schedule_first_token(self._new_streams.get(timeout=wait_s))
            while True:
                self._schedule_first_token(self._new_streams.get_nowait())

    def _schedule_first_token(self, stream: _PacedStream) -> None:
        due_s = time.monotonic() + self._interval_s
        heapq.heappush(
            self._schedule, (due_s, next(self._sequence_numbers), stream)
        )

    def _write_token(self, due_s: float, stream: _PacedStream) -> None:
        event = _make_event(f'word{stream.written_count} ')
        chunk = b'%x\r\n%b\r\n' % (len(event), event)
        stream.written_count += 1
        try:
            os.write(stream.sock.fileno(), chunk)
        except OSError:
            stream.results.put(False)
            return
        if stream.written_count >= stream.token_count:
            stream.results.put(True)
            return
        due_s += self._interval_s
        heapq.heappush(
            self._schedule, (due_s, next(self._sequence_numbers), stream)
        )


class Engine:
    """WSGI application that handles chat requests and counts them.

    :param name: name of the engine
    :param interval_s: time between two tokens
    """

    def __init__(self, name: str, interval_s: float) -> None:
        self._name = name
        self._interval_s = interval_s
        self._pacer = _TokenPacer(interval_s)
        self._counts_lock = threading.Lock()
        self._counts = {'started': 0, 'finished': 0, 'running': 0}

    def __call__(self, environ, start_response):
        """Handle one request as a WSGI application."""
        request = Request(environ)
        return self._handle_request(request)(environ, start_response)

    def _handle_request(self, request: Request) -> Response:
        if request.path == '/health':
            return Response('well\n')
        if request.path == '/counts':
            return Response(json.dumps(self._counts))
        body = json.loads(request.get_data())
        if CRASH_MARKER in json.dumps(body):
            os._exit(1)
        token_count = int(body.get('max_tokens', DEFAULT_MAX_TOKENS))
        if body.get('stream'):
            return Response(
                self._write_stream(request.environ, token_count),
                content_type='text/event-stream',
            )
        tokens = self._generate_tokens(token_count)
        text = ''.join(token for token in tokens if token is not None)
        message = {'role': 'assistant', 'content': text}
        completion = {
            'object': 'chat.completion',
            'model': body.get('model'),
            'choices': [{'index': 0, 'message': message}],
        }
        return Response(
            json.dumps(completion), content_type='application/json'
        )

    def _write_stream(self, environ: dict, token_count: int):
        """Have the pacer write the tokens, then yield the final event."""
        self._change_count('started', 1)
        self._change_count('running', 1)
        try:
            environ[http.SEND_HEAD_KEY]()
            if not self._pacer.write_stream(
                environ[http.SOCKET_KEY], token_count
            ):
                return
            self._change_count('finished', 1)
            yield _make_event(None)
        finally:
            self._change_count('running', -1)

    def _generate_tokens(self, token_count: int):
        """Yield one token per interval, then None."""
        self._change_count('started', 1)
        self._change_count('running', 1)
        try:
            due_s = time.monotonic()
            for index in range(token_count):
                due_s += self._interval_s
                time.sleep(max(0.0, due_s - time.monotonic()))
                yield f'word{index} '
            self._change_count('finished', 1)
            yield None
        finally:
            self._change_count('running', -1)

    def _change_count(self, name: str, change: int) -> None:
        with self._counts_lock:
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
    """Run a simulated model engine."""
    with http.HttpServer(
        address=links.split_address(listen),
        application=Engine(name, interval_ms / 1000),
        threads=THREAD_COUNT,
        max_body_bytes=16 * 1024 * 1024,
    ):
        for _ in itertools.repeat(None):
            time.sleep(3600)


if __name__ == '__main__':
    main()
