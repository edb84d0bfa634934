"""Simulate a plain HTTP service whose bookings must not be repeated.

Each POST request books a slot; each GET request lists all bookings, so that
tests can count how often a booking took effect.
"""

import itertools
import json
import threading
import time

import click
import werkzeug.wrappers

from bambooring_core import http
from bambooring_core import links

THREAD_COUNT = 32

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response


class Application:
    """WSGI application that stores bookings in memory.

    :param name: name that is recorded with each booking
    :param journal_path: file to which each booking is appended, None for
        no file
    """

    def __init__(self, name: str, journal_path: str | None) -> None:
        self._name = name
        self._journal_path = journal_path
        self._bookings_lock = threading.Lock()
        self._bookings: list[dict] = []

    def __call__(self, environ, start_response):
        """Handle one request as a WSGI application."""
        request = Request(environ)
        return self._handle_request(request)(environ, start_response)

    def _handle_request(self, request: Request) -> Response:
        if request.path == '/health':
            return Response('well\n')
        if request.method == 'POST':
            return self._book(request)
        return Response(
            json.dumps(self._bookings), content_type='application/json'
        )

    def _book(self, request: Request) -> Response:
        body = json.loads(request.get_data() or b'{}')
        booking = {'by': self._name, 'body': body, 'path': request.path}
        with self._bookings_lock:
            booking['number'] = len(self._bookings) + 1
            self._bookings.append(booking)
            self._append_to_journal(booking)
        time.sleep(float(body.get('delay_s', 0)))
        return Response(
            json.dumps(booking), status=201, content_type='application/json'
        )

    def _append_to_journal(self, booking: dict) -> None:
        if self._journal_path is not None:
            with open(self._journal_path, 'a') as journal:
                journal.write(json.dumps(booking) + '\n')


@click.command()
@click.option('--name', default='application')
@click.option('--listen', required=True, help='IP:PORT')
@click.option(
    '--journal', default=None, help='File to which bookings are appended.'
)
def main(name: str, listen: str, journal: str | None) -> None:
    """Run a simulated plain HTTP service."""
    with http.HttpServer(
        address=links.split_address(listen),
        application=Application(name, journal),
        threads=THREAD_COUNT,
        max_body_bytes=1024 * 1024,
    ):
        for _ in itertools.repeat(None):
            time.sleep(3600)


if __name__ == '__main__':
    main()
