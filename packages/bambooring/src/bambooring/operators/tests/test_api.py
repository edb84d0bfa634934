"""Test which changes of operators are refused before they are proposed."""

import json
import typing
from unittest import mock

import pytest
import werkzeug.test

from bambooring.evacuation import messages as evacuation
from bambooring.operators import api
from bambooring_core import settings

KEY = 'operator-key'
DELETION: dict[str, typing.Any] = {
    'kind': 'service',
    'name': 'a',
    'expected': 1,
    'content': None,
}


def _post_change(body):
    backend: typing.Any = mock.Mock()
    backend.propose_change.return_value = None
    client = werkzeug.test.Client(
        api.Api(backend, [settings.compute_digest(KEY)])
    )
    response = client.post(
        '/v1/changes', data=body, headers={'Authorization': f'Bearer {KEY}'}
    )
    return response.status_code, backend.propose_change.called


def _encode(change='c-1', **changes):
    return json.dumps({'change': change, 'edits': [DELETION | changes]})


def test_sound_change_is_proposed():
    """A change whose outcome isn't known in time is answered by 503."""
    assert _post_change(_encode()) == (503, True)
    assert _post_change(_encode(expected=2**64 - 1)) == (503, True)


# A number or name that no message has room for ended the control replica.
@pytest.mark.parametrize(
    'body',
    [
        _encode(expected=2**64),
        _encode(expected=-1),
        _encode(expected=10**30),
        _encode(expected=1.5),
        _encode(expected=float('inf')),
        _encode(name='a\ud800'),
        _encode(kind='a\ud800'),
        _encode(name=''),
        _encode(change='a\ud800'),
        '[' * 100_000,
        '{"change":"c","edits":[7]}',
    ],
    ids=range(11),
)
def test_odd_change_is_refused(body):
    """A change that can't be sent to the replicas isn't proposed."""
    assert _post_change(body) == (422, False)


def _order(method, path, outcome=evacuation.Outcome.CHANGED):
    """Send an order; return the status and what the backend got."""
    backend: typing.Any = mock.Mock()
    backend.order_evacuation.return_value = outcome and evacuation.Ordered(
        outcome=outcome, revision=3
    )
    client = werkzeug.test.Client(
        api.Api(backend, [settings.compute_digest(KEY)])
    )
    response = client.open(
        path, method=method, headers={'Authorization': f'Bearer {KEY}'}
    )
    return response.status_code, [
        (call.args[0], call.kwargs['is_evacuated'])
        for call in backend.order_evacuation.call_args_list
    ]


@pytest.mark.parametrize(
    ('method', 'is_evacuated'), [('POST', True), ('DELETE', False)]
)
def test_order_is_proposed(method, is_evacuated):
    """An order names the failure domain as the operator wrote it."""
    order = ('a b', is_evacuated)
    assert _order(method, '/v1/evacuations/a%20b') == (200, [order])


def test_order_without_an_answer_is_resent():
    """The status lets the command line try the next replica."""
    assert _order('POST', '/v1/evacuations/a', None)[0] == 503
    superseded = evacuation.Outcome.SUPERSEDED
    assert _order('POST', '/v1/evacuations/a', superseded)[0] == 503


def test_order_beyond_the_limit():
    """An order that changed nothing isn't reported as carried out."""
    refused = evacuation.Outcome.REFUSED
    assert _order('POST', '/v1/evacuations/a', refused)[0] == 422


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/v1/evacuations/a'),
        ('POST', '/v1/evacuations/'),
        ('POST', '/v1/evacuations/a/b'),
        ('POST', '/v1/evacuations/%ff'),
        ('POST', f'/v1/evacuations/{"x" * 2000}'),
    ],
    ids=range(5),
)
def test_odd_order_is_refused(method, path):
    """A name that no message has room for isn't proposed."""
    assert _order(method, path) == (404, [])
