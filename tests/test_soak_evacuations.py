"""Test the soak's checks of evacuations."""

from soak import evacuations
from soak import history as history_module


def _check(sent_s, executed_s, disturbed=(), **changes):
    """Check an execution while its domain is evacuated from 20 to 30 s."""
    history = history_module.History()
    history.add_request(
        history_module.SentRequest(
            attempt_id='a1',
            kind='read',
            entry='entry-0',
            api_key='k-1',
            account='t-1',
            sent_s=sent_s,
        )
    )
    history.add_execution(
        history_module.Execution(
            attempt_id='a1',
            target='i-1',
            service='app',
            account='t-1',
            body=b'',
            has_authorization=False,
            started_s=executed_s,
            failure_domain='rajkot',
        )
    )
    values = {
        'domain': 'rajkot',
        'sent_s': 19.5,
        'confirmed_s': 20.0,
        'withdrawn_s': 30.0,
    } | changes
    history.evacuations = [history_module.Evacuation(**values)]
    history.disturbed_periods = list(disturbed)
    return list(evacuations.check(history))


def test_late_execution_in_an_evacuated_domain_is_found():
    """The check finds what an instance that ignores evacuations sends."""
    assert _check(26.0, 26.1)
    assert _check(24.0, 26.1)
    assert _check(26.0, 26.1, [(24.0, 27.0)])


def test_allowed_executions_are_no_violation():
    """Neither the time to apply an order nor a freeze is held against it."""
    assert not _check(24.0, 24.9)
    assert not _check(31.0, 31.1)
    assert not _check(26.0, 26.1, domain='amreli')
    assert not _check(24.0, 26.1, [(24.0, 27.0)])


def test_missing_acknowledgement_is_found():
    """The check finds orders that are lost while nothing disturbs."""
    assert _check(1.0, 1.1, confirmed_s=None)
    assert not _check(1.0, 1.1, [(20.0, 21.0)], confirmed_s=None)
