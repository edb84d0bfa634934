"""Simulate an operator who publishes policies and reads them back."""

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
# The timeout of the first publication and of the last read. A failure is
# recorded if the last read does not succeed.
_REQUIRED_TIMEOUT_S = 15.0


class Operator:
    """A simulated operator: a thread that changes and reads the policy."""

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
        """Publish a new policy version, sometimes with a rotated API key."""
        self._version += self._rng.randint(1, 3)
        if self._rng.random() < _ROTATE_PROBABILITY:
            self._rotate_key()
        else:
            self._publish_policy(deadline_s=time.monotonic() + 3.0)

    def _rotate_key(self) -> None:
        """Publish a new API key for an account, then revoke its old one."""
        old_key, account = self._rng.choice(
            sorted(self._accounts_by_key.items())
        )
        new_key = f'k-new-{self._version}'
        self._accounts_by_key[new_key] = account
        if not self._publish_policy(deadline_s=time.monotonic() + 3.0):
            del self._accounts_by_key[new_key]
            return
        time.sleep(1.0)
        self._version += 1
        del self._accounts_by_key[old_key]
        # From now on callers use the new key too. Requests with the old key
        # may be served or refused until the revocation has taken effect.
        self._cluster.api_keys.replace_all(
            self._accounts_by_key | {old_key: account}
        )
        if self._publish_policy(deadline_s=time.monotonic() + 3.0):
            self._history.revoked_s[old_key] = time.monotonic()
            self._cluster.api_keys.replace_all(self._accounts_by_key)
        else:
            self._accounts_by_key[old_key] = account

    def _publish_policy(self, deadline_s: float) -> bool:
        """Send the policy to random control replicas until one confirms it.

        The policy is valid, so a refusal (4xx) is recorded as a failure.

        :param deadline_s: when to give up, on the monotonic clock
        :returns: whether a replica confirmed it
        """
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
                    f'valid policy version {self._version} refused with'
                    f' {status}'
                )
                return False
            time.sleep(0.1)
        return False

    def read_policy(self) -> bool:
        """Read the policy from a random control replica.

        :returns: whether the replica returned a policy
        """
        replica_address = self._rng.choice(
            self._cluster.list_control_addresses()
        )
        requested_s = time.monotonic()
        try:
            response = targets_module.send_request(
                replica_address, 'GET', '/-/config'
            )
        except (OSError, http.client.HTTPException):
            # A read may fail during faults; read_until_answered() requires one
            # to succeed at the end.
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
        """Retry reading the policy; record a failure if no read succeeds."""
        deadline_s = time.monotonic() + _REQUIRED_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.read_policy():
                return
            time.sleep(0.2)
        self._history.failures.append(
            'no policy read succeeded after the faults'
        )
