"""Stand in for a plain service whose bookings may not be repeated.

POST books a slot and counts it as an effect; GET lists the effects.
"""

import itertools
import json
import threading
import time

import click
import werkzeug.wrappers

from bambooring_core import http
from bambooring_core import links

THREADS = 32

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response


class Application:
    """Book slots in memory, and in a file if one is given."""

    def __init__(self, name: str, journal: str | None) -> None:
        self._name = name
        self._journal = journal
        self._lock = threading.Lock()
        self._effects: list[dict] = []

    def __call__(self, environ, start_response):
        """Answer one request."""
        request = Request(environ)
        return self._answer(request)(environ, start_response)

    def _answer(self, request: Request) -> Response:
        if request.path == '/health':
            return Response('well\n')
        if request.method == 'POST':
            return self._book(request)
        return Response(
            json.dumps(self._effects), content_type='application/json'
        )

    def _book(self, request: Request) -> Response:
        body = json.loads(request.get_data() or b'{}')
        effect = {'by': self._name, 'body': body, 'path': request.path}
        with self._lock:
            effect['number'] = len(self._effects) + 1
            self._effects.append(effect)
            self._write(effect)
        time.sleep(float(body.get('delay_s', 0)))
        return Response(
            json.dumps(effect), status=201, content_type='application/json'
        )

    def _write(self, effect: dict) -> None:
        if self._journal is not None:
            with open(self._journal, 'a') as file:
                file.write(json.dumps(effect) + '\n')


@click.command()
@click.option('--name', default='application')
@click.option('--listen', required=True, help='IP:PORT')
@click.option('--journal', default=None, help='A file for the effects.')
def main(name: str, listen: str, journal: str | None) -> None:
    """Run a stand-in for a plain service."""
    with http.HttpServer(
        address=links.split_address(listen),
        application=Application(name, journal),
        threads=THREADS,
        max_body_bytes=1024 * 1024,
    ):
        for _ in itertools.repeat(None):
            time.sleep(3600)


if __name__ == '__main__':
    main()
