"""Send requests on routes that an operator adds, moves and drops."""

import contextlib
import http.client
import random
import threading
import time
import types
import typing

from soak import callers as callers_module
from soak import cluster as cluster_module
from soak import history as history_module

API_KEY, ACCOUNT = 'k-routes', 't-routes'
_MEAN_PAUSE_S = 0.03
_TIMEOUT_S = 2.5
# Statuses that say that the route, or the key for it, is unknown.
_UNKNOWN_STATUSES = frozenset((401, 403, 404))
_RECENT_ROUTES = 12


class RouteCaller:
    """A thread that sends requests on changing routes, at all instances.

    Each request has a connection of its own.
    """

    def __init__(
        self, cluster: cluster_module.Cluster, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._history = cluster.history
        self._rng = rng
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> typing.Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._is_stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_stopping.wait(
            self._rng.uniform(0, 2 * _MEAN_PAUSE_S)
        ):
            names = self._cluster.route_names[-_RECENT_ROUTES:]
            if names:
                self._send(self._rng.choice(names))

    def _send(self, route: str) -> None:
        process = self._rng.choice(self._cluster.list_entries())
        popen = process.popen
        request = history_module.SentRequest(
            attempt_id=f'{self._rng.randrange(16**16):016x}',
            kind=history_module.ROUTE_KIND,
            entry=process.name,
            api_key=API_KEY,
            account=ACCOUNT,
            sent_s=time.monotonic(),
            route=route,
            process_id=popen.pid if popen is not None else 0,
        )
        self._history.add_request(request)
        # A request that fails has no outcome that could be checked.
        with contextlib.suppress(OSError, http.client.HTTPException):
            self._exchange(self._cluster.get_callers_address(process), request)
        request.ended_s = time.monotonic()

    def _exchange(
        self, address: str, request: history_module.SentRequest
    ) -> None:
        connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_S)
        with contextlib.closing(connection):
            connection.request(
                'GET',
                f'/{request.route}/{request.attempt_id}',
                None,
                {
                    'Host': callers_module.HOSTNAME,
                    'Attempt-Id': request.attempt_id,
                    'Authorization': f'Token {API_KEY}',
                    'Deadline-Ms': str(
                        int(callers_module.REQUEST_TIMEOUT_S * 1000)
                    ),
                },
            )
            response = connection.getresponse()
            request.status = response.status
            request.signature = response.headers.get('Server-Signature', '')
            request.response_body = response.read()
            request.is_complete = True


def is_unknown(status: int) -> bool:
    """Return whether a status says that the route or its key is unknown."""
    return status in _UNKNOWN_STATUSES
