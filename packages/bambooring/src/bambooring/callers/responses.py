"""Build HTTP responses from the events of a call.

An incomplete response must never look like a complete one to its caller.
"""

import collections.abc
import json
import random

import werkzeug.wrappers

from bambooring.callers import const
from bambooring.callers import errors
from bambooring.dispatch import messages as dispatch
from bambooring import metrics
from bambooring_core.dispatch import messages as wire

Response = werkzeug.wrappers.Response

_OUTCOME_NAMES = {
    wire.Outcome.COMPLETE: 'complete',
    wire.Outcome.FAILED: 'failed',
    wire.Outcome.NOT_RUN: 'not_run',
    wire.Outcome.UNKNOWN: 'unknown',
}


def make_error_body(
    status: int, reason: str, outcome: wire.Outcome, request_id: str
) -> bytes:
    """Return the JSON body of an error response."""
    error = {
        'status': status,
        'reason': reason,
        'outcome': _OUTCOME_NAMES[outcome],
        'request_id': request_id,
    }
    return json.dumps({'error': error}).encode() + b'\n'


def make_error_headers(
    reason: str,
    outcome: wire.Outcome,
    request_id: str,
    retry_after_s: float,
    rng: random.Random,
) -> list[tuple[str, str]]:
    """Return the headers of an error response; Retry-After has jitter."""
    headers = [
        (const.HEADER_REQUEST_ID, request_id),
        (const.HEADER_REASON, reason),
        (const.HEADER_OUTCOME, _OUTCOME_NAMES[outcome]),
    ]
    if retry_after_s > 0:
        jitter_factor = 1 + rng.random() * const.RETRY_AFTER_JITTER
        wait_s = max(1, round(retry_after_s * jitter_factor + rng.random()))
        headers.append(('Retry-After', str(wait_s)))
    return headers


def make_error_response(
    failure: dispatch.Failure, request_id: str, rng: random.Random
) -> Response:
    """Count a failure before the first byte and return its response."""
    count_error(failure)
    response = Response(
        make_error_body(
            failure.status, failure.reason, failure.outcome, request_id
        ),
        status=failure.status,
        content_type='application/json',
    )
    for name, value in make_error_headers(
        failure.reason,
        failure.outcome,
        request_id,
        failure.retry_after_s,
        rng,
    ):
        response.headers[name] = value
    return response


def count_error(failure: dispatch.Failure) -> None:
    """Count an error response by reason and outcome."""
    metrics.REFUSALS.labels(
        reason=failure.reason, outcome=_OUTCOME_NAMES[failure.outcome]
    ).inc()


def make_refusal_failure(
    error: errors.RequestRefusedError,
) -> dispatch.Failure:
    """Return the failure event for a request that was refused here."""
    return dispatch.Failure(
        status=error.status,
        reason=error.reason,
        outcome=error.outcome,
        retry_after_s=error.retry_after_s,
    )


def make_error_event(failure: dispatch.Failure, request_id: str) -> bytes:
    """Return the last server-sent event of a stream that fails midway."""
    body = make_error_body(
        failure.status, failure.reason, failure.outcome, request_id
    )
    return b'\n\nevent: error\ndata: ' + body.strip() + b'\n\n'


def is_event_stream(head: dispatch.Head) -> bool:
    """Return whether a response is a stream of server-sent events."""
    return any(
        header.name.lower() == 'content-type'
        and header.value.startswith(const.EVENT_STREAM_TYPE)
        for header in head.headers
    )


def make_response(
    head: dispatch.Head,
    body: bytes | collections.abc.Iterator[bytes],
    request_id: str,
) -> Response:
    """Return a response with the target's status and headers."""
    response = Response(body, status=head.status)
    response.headers.clear()
    for header in head.headers:
        response.headers.add(header.name, header.value)
    response.headers[const.HEADER_REQUEST_ID] = request_id
    if isinstance(body, bytes):
        response.headers['Content-Length'] = str(len(body))
    return response
