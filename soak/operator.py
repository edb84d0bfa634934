"""Simulate operators who publish policies and read them back."""

import collections.abc
import contextlib
import copy
import http.client
import json
import random
import threading
import time
import types
import typing

from soak import cluster as cluster_module
from soak import history as history_module
from soak import routes as routes_module
from soak import targets as targets_module

_MEAN_PAUSE_S = 0.6
_READ_PROBABILITY = 0.5
_ROTATE_PROBABILITY = 0.2
_INVALID_PROBABILITY = 0.15
_REPEAT_PROBABILITY = 0.15
# A change of the routes is followed by others at once with this probability.
_SERIES_PROBABILITY = 0.25
_LARGE_PROBABILITY = 0.05
_LARGE_ROUTE_COUNT = 60
_SERVICES = ('app', 'llm')
# The timeout of the first publication and of the last read. A failure is
# recorded if the last read does not succeed.
_REQUIRED_TIMEOUT_S = 15.0


class Draft:
    """The policy as its operators want it, and the version of the next one."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.version = 1
        self.accounts_by_key = {
            'k-1': 't-1',
            'k-2': 't-2',
            routes_module.API_KEY: routes_module.ACCOUNT,
        }
        self.services_by_route: dict[str, str] = {}

    def write(self, step: int = 0) -> history_module.PublishedPolicy:
        """Return the policy, under a version that is higher by a step."""
        with self.lock:
            self.version += step
            return history_module.PublishedPolicy(
                version=self.version,
                content=cluster_module.make_policy_document(
                    self.version, self.accounts_by_key, self.services_by_route
                ).decode(),
                sent_s=time.monotonic(),
                routes=dict(self.services_by_route),
            )


class Operator:
    """A simulated operator: a thread that changes and reads the policy.

    Only one of those that share a draft rotates keys.
    """

    def __init__(
        self,
        cluster: cluster_module.Cluster,
        rng: random.Random,
        draft: Draft | None = None,
        *,
        is_second: bool = False,
    ) -> None:
        self._cluster = cluster
        self._history = cluster.history
        self._rng = rng
        self._is_second = is_second
        self._draft = draft or Draft()
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> typing.Self:
        if not self._is_second:
            self._publish_policy(
                self._draft.write(),
                deadline_s=time.monotonic() + _REQUIRED_TIMEOUT_S,
            )
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
        """Publish a new policy version, or one that is invalid."""
        draw = self._rng.random()
        if draw < _INVALID_PROBABILITY:
            self._publish_invalid_policy()
            return
        if draw < _INVALID_PROBABILITY + _ROTATE_PROBABILITY:
            if not self._is_second:
                self._rotate_key()
                return
        self._change_routes()
        while self._rng.random() < _SERIES_PROBABILITY:
            self._change_routes()

    def _change_routes(self) -> None:
        """Publish a policy with other routes, sometimes twice."""
        with self._draft.lock:
            self._edit_routes(self._draft.services_by_route)
        policy = self._draft.write(self._rng.randint(1, 3))
        is_confirmed = self._publish_policy(
            policy, deadline_s=time.monotonic() + 3.0
        )
        if is_confirmed and self._rng.random() < _REPEAT_PROBABILITY:
            self._publish_policy(policy, deadline_s=time.monotonic() + 1.0)

    def _edit_routes(self, services_by_route: dict[str, str]) -> None:
        """Add, move or drop a route, or add many."""
        draw = self._rng.random()
        if services_by_route and draw < 0.3:
            name = self._rng.choice(sorted(services_by_route))
            del services_by_route[name]
        elif services_by_route and draw < 0.6:
            name = self._rng.choice(sorted(services_by_route))
            services_by_route[name] = self._rng.choice(_SERVICES)
        else:
            is_large = self._rng.random() < _LARGE_PROBABILITY
            for _ in range(_LARGE_ROUTE_COUNT if is_large else 1):
                name = f'route-{len(self._cluster.route_names)}'
                services_by_route[name] = self._rng.choice(_SERVICES)
                self._cluster.route_names.append(name)

    def _publish_invalid_policy(self) -> None:
        """Send a policy that has to be refused, under the next version."""
        with self._draft.lock:
            self._draft.version += 1
            version = self._draft.version
        policy = json.loads(self._draft.write().content)
        policy['version'] = version
        kind, document = self._rng.choice(
            list(_make_invalid_documents(policy))
        )
        address = self._rng.choice(self._cluster.list_control_addresses())
        with contextlib.suppress(OSError, http.client.HTTPException):
            status = targets_module.send_request(
                address, 'PUT', '/-/config', document
            ).status
            if status < 400:
                self._history.failures.append(
                    f'invalid policy ({kind}) answered with {status}'
                )

    def _rotate_key(self) -> None:
        """Publish a new API key for an account, then revoke its old one."""
        old_key, account = self._rng.choice(
            sorted(
                (key, account)
                for key, account in self._draft.accounts_by_key.items()
                if account != routes_module.ACCOUNT
            )
        )
        new_key = f'k-new-{self._draft.version}'
        with self._draft.lock:
            self._draft.accounts_by_key[new_key] = account
        if not self._publish_next():
            with self._draft.lock:
                del self._draft.accounts_by_key[new_key]
            return
        time.sleep(1.0)
        with self._draft.lock:
            del self._draft.accounts_by_key[old_key]
        # From now on callers use the new key too. Requests with the old key
        # may be served or refused until the revocation has taken effect.
        accounts_by_key = {
            key: account
            for key, account in self._draft.accounts_by_key.items()
            if account != routes_module.ACCOUNT
        }
        self._cluster.api_keys.replace_all(
            accounts_by_key | {old_key: account}
        )
        if self._publish_next():
            self._history.revoked_s[old_key] = time.monotonic()
            self._cluster.api_keys.replace_all(accounts_by_key)
        else:
            with self._draft.lock:
                self._draft.accounts_by_key[old_key] = account

    def _publish_next(self) -> bool:
        policy = self._draft.write(self._rng.randint(1, 3))
        return self._publish_policy(policy, deadline_s=time.monotonic() + 3.0)

    def _publish_policy(
        self, policy: history_module.PublishedPolicy, deadline_s: float
    ) -> bool:
        """Send a policy to random control replicas until one confirms it.

        The policy is valid, so a refusal (4xx) is recorded as a failure.

        :param policy: the policy; one that was sent before keeps its times
        :param deadline_s: when to give up, on the monotonic clock
        :returns: whether a replica confirmed it
        """
        document = policy.content.encode()
        self._history.published_policies[policy.version] = policy
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
                if policy.confirmed_s is None:
                    policy.confirmed_s = time.monotonic()
                return True
            if 400 <= status < 500:
                self._history.failures.append(
                    f'valid policy version {policy.version} refused with'
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


def _make_invalid_documents(
    policy: dict[str, typing.Any],
) -> collections.abc.Iterator[tuple[str, bytes]]:
    """Yield what makes a policy invalid, and the document.

    :param policy: a valid policy
    """

    def edit(
        change: collections.abc.Callable[[dict[str, typing.Any]], None],
    ) -> bytes:
        edited = copy.deepcopy(policy)
        change(edited)
        return json.dumps(edited).encode()

    def share_key(edited: dict[str, typing.Any]) -> None:
        first, second = edited['tenants'][:2]
        second['apiKeys'] = [*second['apiKeys'], *first['apiKeys'][:1]]

    def take_place(edited: dict[str, typing.Any]) -> None:
        edited['routes'].append({**edited['routes'][0], 'name': 'twin'})

    def take_place_in_capitals(edited: dict[str, typing.Any]) -> None:
        route = edited['routes'][0]
        hostname = route['hostname'].upper()
        edited['routes'].append(
            {**route, 'name': 'twin', 'hostname': hostname}
        )

    whole = json.dumps(policy).encode()
    yield 'cut short', whole[: len(whole) * 2 // 3]
    yield 'two tenants share a key', edit(share_key)
    yield 'two routes at one place', edit(take_place)
    yield 'two routes at one place', edit(take_place_in_capitals)
    yield (
        'unknown service',
        edit(lambda edited: edited['routes'][0].update(service='none')),
    )
    yield (
        'unknown service of no weight',
        edit(
            lambda edited: edited['routes'][0].update(
                weightedServices=[
                    {'service': 'app', 'weight': 1},
                    {'service': 'none', 'weight': 0},
                ]
            )
        ),
    )
    yield (
        'no weight',
        edit(
            lambda edited: edited['routes'][0].update(
                weightedServices=[{'service': 'app', 'weight': 0}]
            )
        ),
    )
    yield (
        'no timeout',
        edit(lambda edited: edited['routes'][0].update(timeoutMs=0)),
    )
