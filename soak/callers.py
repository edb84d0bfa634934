"""Stand in for callers that keep their connections open."""

import contextlib
import dataclasses
import http.client
import random
import threading
import time
import types
import typing

from soak import ledger as ledger_module

HOST = 'soak.example'
TIME_LEFT_S = 2.0
# Room for the answer to arrive after the time that the request has.
_READ_TIMEOUT_S = TIME_LEFT_S + 1.5
_PAUSE_S = 0.05
_BACK_OFF_S = 0.2
PATHS = {'book': '/book/', 'read': '/read/', 'stream': '/stream/'}


@dataclasses.dataclass(slots=True, kw_only=True)
class Door:
    """Name an entry instance and where callers reach it."""

    entry: str
    address: str


class Keys:
    """Hold the accounts' keys as the operators last published them."""

    def __init__(self, keys: dict[str, str]) -> None:
        self._lock = threading.Lock()
        self._accounts = dict(keys)

    def draw(self, rng: random.Random) -> tuple[str, str]:
        """Return a key and its account."""
        with self._lock:
            return rng.choice(sorted(self._accounts.items()))

    def set(self, keys: dict[str, str]) -> None:
        """Replace all keys."""
        with self._lock:
            self._accounts = dict(keys)


class Caller:
    """Own one caller's thread and its connection."""

    def __init__(
        self,
        *,
        doors: list[Door],
        keys: Keys,
        ledger: ledger_module.Ledger,
        rng: random.Random,
    ) -> None:
        self._doors = doors
        self._keys = keys
        self._ledger = ledger
        self._rng = rng
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._channel: http.client.HTTPConnection | None = None
        self._door = doors[0]
        # Whether the connection was kept, and whether it is still to open.
        self._was_idle = False
        self._is_new = True

    def __enter__(self) -> typing.Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._is_over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_over.is_set():
            self._ask()
            self._is_over.wait(self._rng.uniform(0, 2 * _PAUSE_S))
        self._drop()

    def _ask(self) -> None:
        kind = self._rng.choice(('book', 'read', 'stream'))
        key, account = self._keys.draw(self._rng)
        if self._channel is None:
            self._door = self._rng.choice(self._doors)
        sent = ledger_module.Sent(
            attempt=f'{self._rng.randrange(16**16):016x}',
            kind=kind,
            entry=self._door.entry,
            key=key,
            account=account,
            sent_s=time.monotonic(),
            body=b'' if kind == 'read' else self._rng.randbytes(200),
        )
        self._ledger.add_sent(sent)
        try:
            self._exchange(sent)
        except TimeoutError:
            sent.failure = 'silent'
            self._drop()
        except http.client.RemoteDisconnected:
            # No byte of an answer: the connection may have been idle.
            sent.failure = 'unread' if self._was_idle else 'cut'
            self._drop()
        except (OSError, http.client.HTTPException):
            sent.failure = 'no_connection' if self._is_new else 'cut'
            self._drop()
        sent.ended_s = time.monotonic()
        if not sent.is_whole:
            self._is_over.wait(_BACK_OFF_S)

    def _exchange(self, sent: ledger_module.Sent) -> None:
        self._was_idle = self._channel is not None
        self._is_new = self._channel is None
        if self._channel is None:
            self._channel = http.client.HTTPConnection(
                self._door.address, timeout=_READ_TIMEOUT_S
            )
            self._channel.connect()
            self._is_new = False
        self._channel.request(
            'GET' if sent.kind == 'read' else 'POST',
            PATHS[sent.kind] + sent.attempt,
            sent.body or None,
            {
                'Host': HOST,
                'Attempt-Id': sent.attempt,
                'Authorization': f'Token {sent.key}',
                'Deadline-Ms': str(int(TIME_LEFT_S * 1000)),
                'Tenant': 'forged',
            },
        )
        answer = self._channel.getresponse()
        sent.status = answer.status
        sent.signature = answer.headers.get('Server-Signature', '')
        sent.answer = answer.read()
        sent.is_whole = True
        if answer.will_close:
            self._drop()

    def _drop(self) -> None:
        if self._channel is not None:
            with contextlib.suppress(OSError):
                self._channel.close()
            self._channel = None
