"""Simulate callers that keep their connections open."""

import contextlib
import dataclasses
import http.client
import random
import threading
import time
import types
import typing

from soak import history as history_module

HOSTNAME = 'soak.example'
REQUEST_TIMEOUT_S = 2.0
# The response may arrive up to 1.5 s after the deadline of its request.
_READ_TIMEOUT_S = REQUEST_TIMEOUT_S + 1.5
_MEAN_PAUSE_S = 0.05
_BACKOFF_S = 0.2
PATH_PREFIXES = {'book': '/book/', 'read': '/read/', 'stream': '/stream/'}


@dataclasses.dataclass(slots=True, kw_only=True)
class EntryAddress:
    """The name of an entry instance and its address for callers."""

    entry: str
    address: str


class ApiKeys:
    """The API keys that callers may use, which the operator replaces."""

    def __init__(self, accounts_by_key: dict[str, str]) -> None:
        self._lock = threading.Lock()
        self._accounts_by_key = dict(accounts_by_key)

    def choose(self, rng: random.Random) -> tuple[str, str]:
        """Return a random API key and its client account."""
        with self._lock:
            return rng.choice(sorted(self._accounts_by_key.items()))

    def replace_all(self, accounts_by_key: dict[str, str]) -> None:
        """Replace all API keys by those of a newly published policy."""
        with self._lock:
            self._accounts_by_key = dict(accounts_by_key)


class Caller:
    """A simulated caller: a thread that sends requests on one connection."""

    def __init__(
        self,
        *,
        entry_addresses: list[EntryAddress],
        api_keys: ApiKeys,
        history: history_module.History,
        rng: random.Random,
    ) -> None:
        self._entry_addresses = entry_addresses
        self._api_keys = api_keys
        self._history = history
        self._rng = rng
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._connection: http.client.HTTPConnection | None = None
        self._entry_address = entry_addresses[0]
        # Whether the current request uses a connection that was opened for an
        # earlier one, and whether its connection is not yet open.
        self._was_reused = False
        self._is_connecting = True

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
        while not self._is_stopping.is_set():
            self._send_random_request()
            self._is_stopping.wait(self._rng.uniform(0, 2 * _MEAN_PAUSE_S))
        self._close_connection()

    def _send_random_request(self) -> None:
        kind = self._rng.choice(('book', 'read', 'stream'))
        api_key, account = self._api_keys.choose(self._rng)
        if self._connection is None:
            self._entry_address = self._rng.choice(self._entry_addresses)
        request = history_module.SentRequest(
            attempt_id=f'{self._rng.randrange(16**16):016x}',
            kind=kind,
            entry=self._entry_address.entry,
            api_key=api_key,
            account=account,
            sent_s=time.monotonic(),
            body=b'' if kind == 'read' else self._rng.randbytes(200),
        )
        self._history.add_request(request)
        try:
            self._exchange(request)
        except TimeoutError:
            request.failure = 'silent'
            self._close_connection()
        except http.client.RemoteDisconnected:
            # No byte of a response arrived. A reused connection may have been
            # closed as idle before the request was read.
            request.failure = 'unread' if self._was_reused else 'lost'
            self._close_connection()
        except (OSError, http.client.HTTPException):
            request.failure = (
                'no_connection' if self._is_connecting else 'lost'
            )
            self._close_connection()
        request.ended_s = time.monotonic()
        if not request.is_complete:
            self._is_stopping.wait(_BACKOFF_S)

    def _exchange(self, request: history_module.SentRequest) -> None:
        self._was_reused = self._connection is not None
        self._is_connecting = self._connection is None
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._entry_address.address, timeout=_READ_TIMEOUT_S
            )
            self._connection.connect()
            self._is_connecting = False
        self._connection.request(
            'GET' if request.kind == 'read' else 'POST',
            PATH_PREFIXES[request.kind] + request.attempt_id,
            request.body or None,
            {
                'Host': HOSTNAME,
                'Attempt-Id': request.attempt_id,
                'Authorization': f'Token {request.api_key}',
                'Deadline-Ms': str(int(REQUEST_TIMEOUT_S * 1000)),
                'Tenant': 'forged',
            },
        )
        response = self._connection.getresponse()
        request.status = response.status
        request.signature = response.headers.get('Server-Signature', '')
        request.response_body = response.read()
        request.is_complete = True
        if response.will_close:
            self._close_connection()

    def _close_connection(self) -> None:
        if self._connection is not None:
            with contextlib.suppress(OSError):
                self._connection.close()
            self._connection = None
