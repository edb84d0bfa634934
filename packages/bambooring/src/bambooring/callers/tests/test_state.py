"""Test how HTTP requests become calls or are refused."""

import json

import pytest

from bambooring.callers import errors
from bambooring.callers import state
from bambooring.configuration import local_store
from bambooring.configuration import records
from bambooring_core.dispatch import messages as wire
from bambooring_core import settings

KEY = 'the key of the account'


@pytest.fixture
def view():
    """Return a configuration with a chat service and two HTTP services."""
    account = records.ClientAccount(
        name='mill', keys=(), services=frozenset(['chat', 'plain'])
    )
    services = {
        name: records.Service(
            name=name,
            protocol=protocol,
            idempotent_methods=frozenset(['GET']),
            start_within_s=1.0,
            end_within_s=2.0,
            long_tokens=100,
        )
        for name, protocol in (
            ('chat', 'chat'),
            ('plain', 'http'),
            ('closed', 'http'),
        )
    }
    digest = settings.compute_digest(KEY)
    return local_store.View(
        revision=1, services=services, accounts_by_digest={digest: account}
    )


def _make_call(view, path, body=b'', method='POST', **headers):
    request = state.Request(
        id=1,
        request_id='r',
        method=method,
        path=path,
        headers=list(headers.items()),
        body=body,
    )
    account = state.find_account(f'Bearer {KEY}', view)
    return state.make_call(request, account, view)


def _make_chat_body(**fields):
    message = {'role': 'user', 'content': 'x' * 40}
    return json.dumps(
        {'model': 'chat', 'messages': [message]} | fields
    ).encode()


@pytest.mark.parametrize('header', ['', 'Bearer', 'Bearer wrong', 'Basic x'])
def test_unknown_api_key_is_refused(view, header):
    """A missing, unknown or non-bearer key gives 401 and does not run."""
    with pytest.raises(errors.RequestRefusedError) as caught:
        state.find_account(header, view)
    assert caught.value.status == 401
    assert caught.value.outcome is wire.Outcome.NOT_RUN


def test_long_requests_get_long_lane(view):
    """A request for many tokens gets the long lane and a higher cost."""
    short_call = _make_call(
        view, '/v1/chat/completions', _make_chat_body(max_tokens=10)
    )
    long_call = _make_call(
        view, '/v1/chat/completions', _make_chat_body(max_tokens=500)
    )
    assert (short_call.lane, long_call.lane) == (
        wire.Lane.SHORT,
        wire.Lane.LONG,
    )
    assert long_call.cost > short_call.cost * 10


def test_method_decides_between_idempotent_and_booking(view):
    """Requests are bookings unless their service has them idempotent."""
    read_call = _make_call(view, '/services/plain/slots?day=1', method='GET')
    booking_call = _make_call(
        view, '/services/plain/slots', b'{}', **{'Idempotency-Key': 'k'}
    )
    assert read_call.kind is wire.Kind.IDEMPOTENT
    assert read_call.path == '/slots?day=1'
    assert (booking_call.kind, booking_call.idempotency_key) == (
        wire.Kind.BOOKING,
        'k',
    )
    assert 'Idempotency-Key' not in [
        header.name for header in booking_call.headers
    ]


@pytest.mark.parametrize(
    ('path', 'body', 'status'),
    [
        ('/v1/chat/completions', b'{', 400),
        ('/v1/chat/completions', b'[]', 400),
        ('/v1/chat/completions', b'{"messages": []}', 404),
        ('/v1/chat/completions', b'[' * 100_000, 400),
        ('/services/chat/x', b'', 404),
        ('/services/closed/x', b'', 403),
        ('/services/none', b'', 404),
        ('/elsewhere', b'', 404),
    ],
)
def test_invalid_request_is_refused(view, path, body, status):
    """Each kind of invalid request gets its status."""
    with pytest.raises(errors.RequestRefusedError) as caught:
        _make_call(view, path, body)
    assert caught.value.status == status
