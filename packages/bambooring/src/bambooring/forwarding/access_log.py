"""Log each finished request in one line and update the metrics."""

import dataclasses

import structlog

from bambooring.balancing import state as balancing
from bambooring.forwarding import messages
from bambooring import metrics

LOG = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptRecord:
    """What the log line of a request says of one attempt.

    ``running`` is the number of requests that the target had when it was
    chosen, ``candidates`` the number of targets that it was chosen from.
    ``report_age_ms`` is the age of the oldest load report used. ``has_begun``
    is true if the target began to answer, ``events`` what it sent of a stream.
    """

    target: str
    running: int
    candidates: int
    report_age_ms: int
    outcome: str = ''
    duration_ms: int = 0
    has_begun: bool = False
    events: str = ''

    @classmethod
    def make(cls, choice: balancing.Choice) -> 'AttemptRecord':
        """Return the record of an attempt that begins."""
        return cls(
            target=choice.target.id,
            running=choice.running,
            candidates=choice.candidate_count,
            report_age_ms=round(choice.oldest_report_age_s * 1000),
        )

    def format(self) -> str:
        """Return the text of the attempt in the log line."""
        return (
            f'{self.target} running={self.running}'
            f' of={self.candidates} age={self.report_age_ms}'
            f' {self.outcome} {self.duration_ms}ms'
            f'{" begun" if self.has_begun else ""}{self.events}'
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRecord:
    """The data about a finished request that is logged and counted.

    Points in time are in the reactor's seconds. ``first_byte_s`` is None if
    the caller received nothing of a target's response. ``may_have_run`` tells
    whether a target may have run the request.
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
    attempts: list[AttemptRecord]
    received_s: float
    first_byte_s: float | None
    ended_s: float
    deadline_s: float


def log_request(record: RequestRecord) -> None:
    """Log a finished request and update its metrics."""
    total_s = record.ended_s - record.received_s
    first_byte_s = record.first_byte_s
    if record.outcome == 'answered':
        metrics.REQUESTS.labels(service=record.service).inc()
        metrics.RESPONSE_S.labels(service=record.service).observe(total_s)
    if first_byte_s is not None:
        metrics.FIRST_BYTE_S.labels(service=record.service).observe(
            first_byte_s - record.received_s
        )
    LOG.info(
        'request ended',
        request=record.request.attempt_id,
        route=record.route,
        account=record.account,
        service=record.service,
        policy_version=record.policy_version,
        lease_age_ms=_to_ms(record.lease_age_s),
        outcome=record.outcome,
        status=record.status,
        detail=record.detail,
        may_have_run=record.may_have_run,
        offers=[attempt.format() for attempt in record.attempts],
        first_ms=_to_ms((first_byte_s or record.ended_s) - record.received_s),
        whole_ms=_to_ms(total_s),
        time_left_ms=_to_ms(record.deadline_s - record.ended_s),
    )


def _to_ms(seconds: float) -> int:
    """Return whole milliseconds, -1 for an infinite time."""
    if seconds == float('inf'):
        return -1
    return round(seconds * 1000)
