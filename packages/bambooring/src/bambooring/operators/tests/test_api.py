"""Test which changes of operators are refused before they are proposed."""

import json
import typing
from unittest import mock

import pytest
import werkzeug.test

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
