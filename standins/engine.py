"""Stand in for a model engine with the chat-completions interface.

It answers one token an interval, whole or as server-sent events. A prompt
that holds the crash word ends the process, as some requests do.
"""

import itertools
import json
import os
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


class Engine:
    """Answer chat requests and count them."""

    def __init__(self, name: str, interval_s: float) -> None:
        self._name = name
        self._interval_s = interval_s
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
        tokens = self._generate(int(body.get('max_tokens', DEFAULT_TOKENS)))
        if body.get('stream'):
            return Response(
                (_make_event(token) for token in tokens),
                content_type='text/event-stream',
            )
        text = ''.join(token for token in tokens if token is not None)
        message = {'role': 'assistant', 'content': text}
        answer = {
            'object': 'chat.completion',
            'model': body.get('model'),
            'choices': [{'index': 0, 'message': message}],
        }
        return Response(json.dumps(answer), content_type='application/json')

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
