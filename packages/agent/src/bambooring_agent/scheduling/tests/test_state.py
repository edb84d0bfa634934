"""Test what the scheduler says about attempts that did or didn't run."""

import pytest

from bambooring_agent.scheduling import messages
from bambooring_agent.scheduling import state
from bambooring_core.dispatch import messages as dispatch

OWNER = 7


@pytest.fixture
def scheduler():
    """Return a scheduler with one slot."""
    limits = state.SchedulerLimits(
        slots=1, long_slots=1, queue_limit=4, leave_grace_s=1.0
    )
    return state.AttemptScheduler(limits=limits, incarnation=5)


def _make_start(attempt_id, **fields):
    return dispatch.Start(
        attempt=attempt_id,
        incarnation=5,
        request_id='r',
        service='s',
        account='a',
        **fields,
    )


def _collect(effects):
    return list(effects)


def test_copy_of_a_start_runs_once(scheduler):
    """A copy of a start message has no effect while its attempt runs."""
    assert _collect(scheduler.submit(_make_start(1), OWNER, 0.0)) == [
        messages.StartCall(start=_make_start(1))
    ]
    assert not _collect(scheduler.submit(_make_start(1), OWNER, 0.1))
    assert scheduler.running_count == 1


def test_start_after_refused_resume_does_not_run(scheduler):
    """A start message after its resume was refused does not run.

    The entry instance was told that the attempt never arrived, so it may have
    run the request elsewhere.
    """
    resume = dispatch.Resume(attempt=1, incarnation=5, offset=0)
    (sent,) = _collect(scheduler.resume(resume, OWNER, 0.0))
    assert isinstance(sent.message, dispatch.Refused)
    (sent,) = _collect(scheduler.submit(_make_start(1), OWNER, 0.1))
    assert isinstance(sent.message, dispatch.Refused)
    assert scheduler.running_count == 0


def test_start_for_earlier_incarnation_is_unknown(scheduler):
    """A restarted agent does not claim that an earlier attempt never ran."""
    start = _make_start(1)
    start.incarnation = 4
    (sent,) = _collect(scheduler.submit(start, OWNER, 0.0))
    assert sent.message.outcome is dispatch.Outcome.UNKNOWN


def test_copy_of_an_ended_attempt_is_unknown(scheduler):
    """An attempt that ran is not refused, as that would say it never ran."""
    _collect(scheduler.submit(_make_start(1), OWNER, 0.0))
    _collect(scheduler.record_call_end(1, dispatch.Outcome.COMPLETE, '', 0.1))
    scheduler.acknowledge(
        dispatch.Acknowledge(attempt=1, offset=0, is_final=True), 0.2
    )
    (sent,) = _collect(scheduler.submit(_make_start(1), OWNER, 0.3))
    assert sent.message.outcome is dispatch.Outcome.UNKNOWN


def test_resume_sends_from_requested_offset(scheduler):
    """Output is sent again from the offset that a resume message asks for."""
    _collect(scheduler.submit(_make_start(1), OWNER, 0.0))
    scheduler.record_response_head(1, 200, [])
    scheduler.record_output(1, b'hello ')
    scheduler.record_output(1, b'world')
    scheduler.detach_owner(OWNER, 0.1)
    scheduler.record_output(1, b'!')
    _collect(scheduler.record_call_end(1, dispatch.Outcome.COMPLETE, '', 0.2))
    resume = dispatch.Resume(attempt=1, incarnation=5, offset=6)
    _collect(scheduler.resume(resume, OWNER + 1, 0.3))
    ((owner, output),) = scheduler.take_pending_outputs()
    assert owner == OWNER + 1
    (chunk,) = output.get_chunks()
    assert (chunk.offset, chunk.data) == (6, b'world!')
    assert output.ended[0].size == 12


def test_leaving_refuses_after_grace_period(scheduler):
    """A leaving target refuses new attempts after the grace period."""
    scheduler.start_leaving(0.0)
    (effect,) = _collect(scheduler.submit(_make_start(1), OWNER, 0.5))
    assert isinstance(effect, messages.StartCall)
    (effect,) = _collect(scheduler.submit(_make_start(2), OWNER, 1.0))
    assert effect.message.reason == 'target_leaving'
