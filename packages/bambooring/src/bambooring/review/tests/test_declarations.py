"""Test each finding in a set of declared records."""

import typing

import pytest

from bambooring.configuration import records
from bambooring.review import declarations


def _make_account(name='a', digest='1', services=None, **limits):
    return records.ClientAccount(
        name=name,
        keys=(records.AccountKey(digest=digest),),
        services=services,
        limits=records.AccountLimits(**limits),
    )


def _make_service(name='llm', **fields):
    defaults: dict[str, typing.Any] = {
        'protocol': 'chat',
        'idempotent_methods': frozenset(),
        'start_within_s': 5.0,
        'end_within_s': 120.0,
        'long_tokens': 2000,
    }
    return records.Service(name=name, **(defaults | fields))


def _make_group(**fields):
    defaults: dict[str, typing.Any] = {
        'service': 'llm',
        'ranks': 16,
        'layers': 24,
        'experts_per_layer': 64,
        'slots_per_rank': 5,
        'moves_per_s': 2.0,
        'engine_holds_step': True,
        'engine_checks_fencing': False,
    }
    return records.ModelGroup(name='g', **(defaults | fields))


def _review(*parsed_records, max_running=1000):
    return [
        f'{finding.severity} {finding.code} {finding.entry}'
        for finding in declarations.review(
            parsed_records, {'entry-1': max_running}
        )
    ]


def test_nothing_found_in_usual_records():
    """Findings without a reason would hide those with one."""
    assert _review(_make_account(), _make_service(), _make_group()) == []


def test_account_names_unknown_service():
    """Requests to the service get 404, as after a typing error."""
    account = _make_account(services=frozenset(['llm', 'lml']))
    assert _review(account, _make_service()) == [
        'warning unknown_service client_account a'
    ]


def test_account_has_no_usable_service():
    """All requests of the account get 404."""
    account = _make_account('b', '2', services=frozenset())
    assert _review(account, _make_account(), _make_service()) == [
        'warning no_usable_service client_account b'
    ]


def test_service_unused():
    """All requests to the service get 404."""
    account = _make_account(services=frozenset(['llm']))
    assert _review(account, _make_service(), _make_service('app')) == [
        'warning service_unused service app'
    ]


def test_group_names_unknown_service():
    """The group's targets never get a request."""
    assert _review(_make_group(service='lml'), _make_service()) == [
        'warning unknown_service model_group g'
    ]


def test_group_has_too_few_slots():
    """No map has room for all experts."""
    assert _review(_make_group(ranks=12), _make_service()) == [
        'warning too_few_slots model_group g'
    ]


def test_shared_key():
    """The key belongs to one of its two accounts only."""
    assert _review(_make_account('a'), _make_account('b')) == [
        'warning shared_key client_account b'
    ]


def test_start_above_end():
    """Requests may start when they must have ended."""
    assert _review(_make_service(start_within_s=121.0)) == [
        'warning start_above_end service llm'
    ]


def test_burst_below_rate():
    """Requests that come unevenly never reach the rate."""
    account = _make_account(requests_per_s=100.0, burst=99)
    assert _review(account) == ['warning burst_below_rate client_account a']


@pytest.mark.parametrize(
    'max_running, expected',
    [
        (200, []),
        (199, ['note in_flight_overcommitted accounts']),
    ],
)
def test_in_flight_overcommitted(max_running, expected):
    """The accounts' limits can't be reached by all at once."""
    accounts = [_make_account('a'), _make_account('b', '2')]
    assert _review(*accounts, max_running=max_running) == expected


def test_in_flight_above_capacity():
    """The entry instances refuse requests before the account's limit."""
    findings = _review(_make_account(), max_running=99)
    assert 'warning in_flight_above_capacity client_account a' in findings
