"""Record what targets say of themselves in their responses.

A target may ask for a rest, or say that it leaves or is cold, at the head of
any response to an attempt. What a response of another request or of another
target says is not recorded.
"""

import structlog

from bambooring.balancing import state as balancing
from bambooring.forwarding import attempt as attempt_module
from bambooring import metrics

LOG = structlog.get_logger(__name__)


def record_statements(
    attempt: attempt_module.Attempt,
    balancer: balancing.Balancer,
    now_s: float,
) -> None:
    """Record what the head of an attempt's response says of its target.

    :param attempt: the attempt, whose response is the target's own
    :param balancer: the balancer, which sends nothing to a target that rests
        or leaves, and to a cold one only by permits
    :param now_s: the current time in seconds
    """
    response = attempt.response
    assert response is not None
    if response.asked_rest_s is None and not response.is_refused:
        balancer.rests.record_answer(attempt.target, attempt.attempt_id)
    if response.asked_rest_s is not None:
        rest_s = balancer.rests.begin(
            attempt.target, response.asked_rest_s, now_s
        )
        metrics.TARGET_RESTS.inc()
        LOG.info(
            'target rests',
            target=attempt.target.id,
            target_born=attempt.target.born_ms,
            for_ms=round(rest_s * 1000),
            asked_ms=round(response.asked_rest_s * 1000),
            status=response.status,
            request=attempt.attempt_id,
        )
    if response.is_leaving and balancer.leaving.mark(attempt.target, now_s):
        metrics.TARGETS_LEAVING.inc()
        LOG.info(
            'target leaves',
            target=attempt.target.id,
            target_born=attempt.target.born_ms,
            status=response.status,
            request=attempt.attempt_id,
        )
    if response.cold_ms:
        balancer.cold.record_statement(attempt.target, response.cold_ms, now_s)
