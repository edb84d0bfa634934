"""Record how a request went: one line in the log, and the metrics."""

import dataclasses

import structlog

from bambooring.forwarding import messages
from bambooring import metrics

LOG = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class Trace:
    """Hold what the log says of one offer."""

    target: str
    running: int
    candidates: int
    report_age_ms: int
    outcome: str = ''
    ms: int = 0

    def describe(self) -> str:
        """Return the offer in one field of a log line."""
        return (
            f'{self.target} running={self.running}'
            f' of={self.candidates} age={self.report_age_ms}'
            f' {self.outcome} {self.ms}ms'
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Story:
    """Hold all that decided a request; times in the reactor's seconds.

    ``first_byte_s`` is None if the caller got nothing of a target's answer.
    """

    request: messages.CallerRequest
    route: str
    account: str
    service: str
    policy_version: int
    lease_age_s: float
    outcome: str
    status: int
    detail: str
    may_have_run: bool
    offers: list[Trace]
    received_s: float
    first_byte_s: float | None
    ended_s: float
    deadline_s: float


def record(story: Story) -> None:
    """Write a request's line and count it."""
    whole_s = story.ended_s - story.received_s
    first_s = story.first_byte_s
    if story.outcome == 'answered':
        metrics.REQUESTS.labels(service=story.service).inc()
        metrics.WHOLE_S.labels(service=story.service).observe(whole_s)
    if first_s is not None:
        metrics.FIRST_BYTE_S.labels(service=story.service).observe(
            first_s - story.received_s
        )
    LOG.info(
        'request ended',
        request=story.request.attempt_id,
        route=story.route,
        account=story.account,
        service=story.service,
        policy_version=story.policy_version,
        lease_age_ms=_to_ms(story.lease_age_s),
        outcome=story.outcome,
        status=story.status,
        detail=story.detail,
        may_have_run=story.may_have_run,
        offers=[offer.describe() for offer in story.offers],
        first_ms=_to_ms((first_s or story.ended_s) - story.received_s),
        whole_ms=_to_ms(whole_s),
        time_left_ms=_to_ms(story.deadline_s - story.ended_s),
    )


def _to_ms(seconds: float) -> int:
    if seconds == float('inf'):
        return -1
    return round(seconds * 1000)
