"""Evacuate failure domains in turn, and check where requests run meanwhile.

Times are seconds of the monotonic clock of the soak's own process.
"""

import collections.abc
import contextlib
import http.client
import random
import threading
import time
import types
import typing

from soak import cluster as cluster_module
from soak import history as history_module
from soak import targets as targets_module

# An order is acknowledged within this time while nothing disturbs.
ACKNOWLEDGE_S = 5.0
# From this long after the acknowledgement no request goes to a target of the
# failure domain.
EVACUATE_S = 5.0
# The same holds for an instance that was disturbed, this long after the end
# of the disturbance.
CONTACT_S = 4.0
_UNKNOWN_DOMAIN = 'nowhere'
_KEEP_RANGE_S = (6.0, 9.0)
_PAUSE_RANGE_S = (0.5, 2.0)
_RESEND_INTERVAL_S = 0.1


class EvacuationOperator:
    """A thread that evacuates a failure domain at a time.

    It resends each order to another replica until one acknowledges it.
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
        while not self._is_stopping.wait(self._rng.uniform(*_PAUSE_RANGE_S)):
            self._order_unknown_domain()
            evacuation = history_module.Evacuation(
                domain=self._rng.choice(cluster_module.FAILURE_DOMAINS),
                sent_s=time.monotonic(),
            )
            self._history.evacuations.append(evacuation)
            if self._order('POST', evacuation.domain):
                evacuation.confirmed_s = time.monotonic()
                self._is_stopping.wait(self._rng.uniform(*_KEEP_RANGE_S))
            evacuation.withdrawn_s = time.monotonic()
            while not self._order('DELETE', evacuation.domain):
                if self._is_stopping.is_set():
                    return

    def _order(self, method: str, domain: str) -> bool:
        """Send an order until it is acknowledged.

        :returns: whether it was acknowledged in time
        """
        deadline_s = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < deadline_s:
            status = self._send(method, domain)
            if status == 200:
                return True
            if 400 <= status < 500:
                self._history.failures.append(
                    f'{method} of evacuation of {domain} refused with {status}'
                )
                return False
            time.sleep(_RESEND_INTERVAL_S)
        return False

    def _order_unknown_domain(self) -> None:
        status = self._send('POST', _UNKNOWN_DOMAIN)
        if status and status != 404 and status < 500:
            self._history.failures.append(
                f'evacuation of an unknown domain answered with {status}'
            )

    def _send(self, method: str, domain: str) -> int:
        """Return the status of an order, 0 without an answer."""
        address = self._rng.choice(self._cluster.list_control_addresses())
        with contextlib.suppress(OSError, http.client.HTTPException):
            return targets_module.send_request(
                address, method, f'/-/evacuation/{domain}'
            ).status
        return 0


def check(
    history: history_module.History,
) -> collections.abc.Iterator[str]:
    """Yield a line for each violated guarantee.

    :param history: what operators ordered, and what targets observed
    """
    for evacuation in history.evacuations:
        if evacuation.confirmed_s is None:
            if not history.is_disturbed(
                evacuation.sent_s - CONTACT_S,
                evacuation.sent_s + ACKNOWLEDGE_S,
            ):
                yield f'order not acknowledged in time: {evacuation}'
            continue
        yield from _check_evacuation(
            history, evacuation, evacuation.confirmed_s + EVACUATE_S
        )


def _check_evacuation(
    history: history_module.History,
    evacuation: history_module.Evacuation,
    in_force_s: float,
) -> collections.abc.Iterator[str]:
    """Check that nothing ran in a failure domain that was evacuated.

    All routes need a key, so that an instance that is cut off has no lease
    for later requests. One that it had received before may be sent late.
    """
    for execution in list(history.executions):
        if execution.failure_domain != evacuation.domain:
            continue
        if not in_force_s < execution.started_s < evacuation.withdrawn_s:
            continue
        request = history.requests.get(execution.attempt_id)
        is_new = request is not None and request.sent_s > in_force_s
        is_calm = not history.is_disturbed(
            execution.started_s - CONTACT_S, execution.started_s
        )
        if is_new or is_calm:
            yield (
                f'executed in an evacuated domain: {execution.attempt_id} at'
                f' {execution.target} in {evacuation.domain},'
                f' {execution.started_s - in_force_s:.2f} s after the bound'
            )
