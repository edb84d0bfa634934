"""Stand in for an operator who publishes policies and reads them back."""

import contextlib
import http.client
import json
import random
import threading
import time
import types
import typing

from soak import cluster as cluster_module
from soak import history as history_module
from soak import targets as targets_module

_MEAN_PAUSE_S = 0.6
_READ_PROBABILITY = 0.5
_ROTATE_PROBABILITY = 0.2
_REQUIRED_TIMEOUT_S = 15.0


class Operator:
    """Own the thread that changes the policy through any replica."""

    def __init__(
        self, cluster: cluster_module.Cluster, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._history = cluster.history
        self._rng = rng
        self._version = 1
        self._accounts_by_key = {'k-1': 't-1', 'k-2': 't-2'}
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> typing.Self:
        self._publish_policy(deadline_s=time.monotonic() + _REQUIRED_TIMEOUT_S)
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
            if self._rng.random() < _READ_PROBABILITY:
                self.read_policy()
            else:
                self._change_policy()

    def _change_policy(self) -> None:
        """Publish a version; now and then with a key less or more."""
        self._version += self._rng.randint(1, 3)
        if self._rng.random() < _ROTATE_PROBABILITY:
            self._rotate_key()
        else:
            self._publish_policy(deadline_s=time.monotonic() + 3.0)

    def _rotate_key(self) -> None:
        """Take a key away, and give its account another one first."""
        old_key, account = self._rng.choice(
            sorted(self._accounts_by_key.items())
        )
        new_key = f'k-{self._version}'
        self._accounts_by_key[new_key] = account
        if not self._publish_policy(deadline_s=time.monotonic() + 3.0):
            del self._accounts_by_key[new_key]
            return
        time.sleep(1.0)
        self._version += 1
        del self._accounts_by_key[old_key]
        # Callers that know of it use the new key from now on; who sends
        # the old one within its time may be served or refused.
        self._cluster.api_keys.replace_all(
            self._accounts_by_key | {old_key: account}
        )
        if self._publish_policy(deadline_s=time.monotonic() + 3.0):
            self._history.revoked_s[old_key] = time.monotonic()
            self._cluster.api_keys.replace_all(self._accounts_by_key)
        else:
            self._accounts_by_key[old_key] = account

    def _publish_policy(self, deadline_s: float) -> bool:
        """Send the version to one replica after another until confirmed."""
        document = cluster_module.make_policy_document(
            self._version, self._accounts_by_key
        )
        published_policy = history_module.PublishedPolicy(
            version=self._version, content=document.decode()
        )
        self._history.published_policies[self._version] = published_policy
        while time.monotonic() < deadline_s:
            replica_address = self._rng.choice(
                self._cluster.list_control_addresses()
            )
            status = 0
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = targets_module.send_request(
                    replica_address, 'PUT', '/-/config', document
                ).status
            if status == 200:
                published_policy.confirmed_s = time.monotonic()
                return True
            if 400 <= status < 500:
                self._history.failures.append(
                    f'proper version {self._version} refused with {status}'
                )
                return False
            time.sleep(0.1)
        return False

    def read_policy(self) -> bool:
        """Read the policy back at any replica; return whether it came."""
        replica_address = self._rng.choice(
            self._cluster.list_control_addresses()
        )
        requested_s = time.monotonic()
        try:
            response = targets_module.send_request(
                replica_address, 'GET', '/-/config'
            )
        except (OSError, http.client.HTTPException):
            # No answer promises nothing; the soak's end insists on one.
            return False
        if response.status != 200:
            return False
        self._history.policy_reads.append(
            history_module.PolicyRead(
                version=json.loads(response.body)['version'],
                content=response.body.decode(),
                requested_s=requested_s,
                replica_address=replica_address,
            )
        )
        return True

    def read_until_answered(self) -> None:
        """Read until an answer comes; none at all breaks a promise."""
        deadline_s = time.monotonic() + _REQUIRED_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.read_policy():
                return
            time.sleep(0.2)
        self._history.failures.append('policy not readable at the end')
