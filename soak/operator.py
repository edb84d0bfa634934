"""Stand in for an operator who publishes policies and reads them back."""

import contextlib
import http.client
import json
import random
import threading
import time
import types
import typing

from soak import ledger as ledger_module
from soak import site as site_module
from soak import targets as targets_module

_PAUSE_S = 0.6
_READ_SHARE = 0.5
_REVOKE_SHARE = 0.2
_FINAL_TIMEOUT_S = 15.0


class Operator:
    """Own the thread that changes the policy through any replica."""

    def __init__(self, site: site_module.Site, rng: random.Random) -> None:
        self._site = site
        self._ledger = site.ledger
        self._rng = rng
        self._version = 1
        self._keys = {'k-1': 't-1', 'k-2': 't-2'}
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> typing.Self:
        self._publish(until_s=time.monotonic() + _FINAL_TIMEOUT_S)
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
        while not self._is_over.wait(self._rng.uniform(0, 2 * _PAUSE_S)):
            if self._rng.random() < _READ_SHARE:
                self.read()
            else:
                self._change()

    def _change(self) -> None:
        """Publish a version; now and then with a key less or more."""
        self._version += self._rng.randint(1, 3)
        if self._rng.random() < _REVOKE_SHARE:
            self._revoke()
        else:
            self._publish(until_s=time.monotonic() + 3.0)

    def _revoke(self) -> None:
        """Take a key away, and give its account another one first."""
        old, account = self._rng.choice(sorted(self._keys.items()))
        new = f'k-{self._version}'
        self._keys[new] = account
        if not self._publish(until_s=time.monotonic() + 3.0):
            del self._keys[new]
            return
        time.sleep(1.0)
        self._version += 1
        del self._keys[old]
        # Callers that know of it use the new key from now on; who sends
        # the old one within its time may be served or refused.
        self._site.keys.set(self._keys | {old: account})
        if self._publish(until_s=time.monotonic() + 3.0):
            self._ledger.revoked_s[old] = time.monotonic()
            self._site.keys.set(self._keys)
        else:
            self._keys[old] = account

    def _publish(self, until_s: float) -> bool:
        """Send the version to one replica after another until confirmed."""
        document = site_module.make_policy(self._version, self._keys)
        held = ledger_module.Published(
            version=self._version, content=document.decode()
        )
        self._ledger.published[self._version] = held
        while time.monotonic() < until_s:
            control = self._rng.choice(self._site.list_controls())
            status = 0
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = targets_module.call(
                    control, 'PUT', '/-/config', document
                ).status
            if status == 200:
                held.confirmed_s = time.monotonic()
                return True
            if 400 <= status < 500:
                self._ledger.failures.append(
                    f'proper version {self._version} refused with {status}'
                )
                return False
            time.sleep(0.1)
        return False

    def read(self) -> bool:
        """Read the policy back at any replica; return whether it came."""
        control = self._rng.choice(self._site.list_controls())
        asked_s = time.monotonic()
        try:
            answer = targets_module.call(control, 'GET', '/-/config')
        except (OSError, http.client.HTTPException):
            # No answer promises nothing; the soak's end insists on one.
            return False
        if answer.status != 200:
            return False
        self._ledger.reads.append(
            ledger_module.Read(
                version=json.loads(answer.body)['version'],
                content=answer.body.decode(),
                asked_s=asked_s,
                replica=control,
            )
        )
        return True

    def read_finally(self) -> None:
        """Read until an answer comes; none at all breaks a promise."""
        end_s = time.monotonic() + _FINAL_TIMEOUT_S
        while time.monotonic() < end_s:
            if self.read():
                return
            time.sleep(0.2)
        self._ledger.failures.append('policy not readable at the end')
