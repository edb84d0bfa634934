"""Decide on a pending request by what is known of crashes of targets."""

import functools

from bambooring.crashes import causes as causes_module
from bambooring.crashes import checks
from bambooring.crashes import state as crashes
from bambooring.crashes import task as crashes_task
from bambooring.forwarding import messages
from bambooring.targets import messages as targets
from bambooring_core.http1 import errors as http1_errors

# How a connection ends whose target has crashed.
_CRASH_FAILURES = frozenset(
    (
        http1_errors.Failure.RESET.value,
        http1_errors.Failure.CLOSED_EARLY.value,
    )
)


class AttemptProbe:
    """The probe of a suspect that one attempt is, if it is one."""

    __slots__ = ('_guard', '_key', '_until_s')

    def __init__(
        self, guard: crashes_task.CrashGuard, key: int, until_s: float
    ) -> None:
        """Create a probe.

        :param guard: what decides on requests
        :param key: the suspect, 0 if the request is clear
        :param until_s: until when no other probe is sent
        """
        self._guard = guard
        self._key = key
        self._until_s = until_s

    def end(self) -> None:
        """Record that the attempt has ended, so that the next may probe."""
        if self._key:
            self._guard.end_probe(self._key, self._until_s)
            self._key = 0


class RequestSuspicion:
    """Whether one request may crash targets, as this instance knows it."""

    def __init__(
        self,
        guard: crashes_task.CrashGuard,
        request: messages.CallerRequest,
        account: str,
    ) -> None:
        self._guard = guard
        self._request = request
        self._account = account

    @functools.cached_property
    def _causes(self) -> causes_module.Causes:
        return causes_module.compute_causes(
            prompt_parts=self._request.prompt_parts,
            method=self._request.method,
            request_target=self._request.request_target,
            account=self._account,
            body=self._request.body,
        )

    def decide(self) -> crashes.Decision:
        """Decide whether the request may be sent to a target."""
        return self._guard.decide(self._causes)

    def begin_attempt(self) -> AttemptProbe:
        """Record that the request is sent, as a probe if it is suspect."""
        decision = self.decide()
        if decision.status is not crashes.Status.PROBE:
            return AttemptProbe(self._guard, 0, 0.0)
        until_s = self._guard.begin_probe(decision, self._request.attempt_id)
        return AttemptProbe(self._guard, decision.key, until_s)

    def record_answer(self) -> None:
        """Record that a target has answered whole."""
        self._guard.record_answer(self._causes)

    def record_progress(self) -> None:
        """Record that an answer goes on, some time after it has begun."""
        self._guard.record_progress(self._causes)

    def check_target(
        self,
        target: targets.Target,
        callback: checks.ResultCallback,
    ) -> None:
        """Find out whether the target crashed before it answered whole.

        :param target: the target
        :param callback: is called with the result
        """
        self._guard.check_target(
            target, self._causes, self._request.attempt_id, callback
        )


def may_be_crash(failure: str) -> bool:
    """Return whether a target that has crashed ends connections this way.

    :param failure: how the connection ended, as a label
    """
    return failure in _CRASH_FAILURES
