"""Serve the operators' HTTP API on a control replica."""

import collections.abc
import hmac
import json
import pathlib
import typing

import werkzeug.wrappers

from bambooring.configuration import const as configuration_const
from bambooring.configuration import errors as configuration_errors
from bambooring.configuration import messages as configuration
from bambooring.configuration import records
from bambooring.evacuation import messages as evacuation
from bambooring.operators import const
from bambooring_core import bounds
from bambooring_core import settings

Response = werkzeug.wrappers.Response
Request = werkzeug.wrappers.Request


class Backend(typing.Protocol):
    """Control replica behind the API.

    The API calls it from threads of the HTTP server; it does the work in the
    thread of its reactor.
    """

    def propose_change(
        self, change: configuration.Change
    ) -> configuration.ChangeAnswer | None:
        """Propose a change and wait for its answer.

        :param change: the change
        :returns: the answer, None if there was none in time
        """

    def order_evacuation(
        self, failure_domain: str, *, is_evacuated: bool
    ) -> evacuation.Ordered | None:
        """Order or withdraw an evacuation and wait for the reply.

        :param failure_domain: the failure domain
        :param is_evacuated: whether to evacuate it
        :returns: the reply, None if there was none in time
        """

    def list_records(self) -> configuration.Records:
        """Return every record, deleted ones too."""

    def get_status(self) -> dict[str, typing.Any]:
        """Return the status of the cluster as a JSON object."""

    def order_leave(self, target_id: str) -> None:
        """Order a target to drain and then to end."""


class InvalidRequestError(configuration_errors.ConfigurationError):
    """Raised for a request body that doesn't have the form of a change."""


class Api:
    """WSGI application of the operators' API.

    It checks the operator's key, validates the request and calls the backend.
    ``key_digests`` are the digests of the keys that it accepts.
    """

    def __init__(self, backend: Backend, key_digests: list[str]) -> None:
        self._backend = backend
        self._key_digests = key_digests

    def __call__(
        self, environ: dict, start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Handle a request, as WSGI defines it."""
        request = Request(environ)
        response = self._handle_request(request)
        return response(environ, start_response)

    def _handle_request(self, request: Request) -> Response:
        if not self._is_authorized(request):
            return _make_error_response(401, 'operator_key_required')
        method_and_path = (request.method, request.path)
        if method_and_path == ('POST', const.PATH_CHANGES):
            return self._handle_change(request)
        if method_and_path == ('GET', const.PATH_RECORDS):
            return self._handle_list_records()
        if method_and_path == ('GET', const.PATH_STATUS):
            return _make_json_response(200, self._backend.get_status())
        if request.method == 'POST' and request.path.startswith(
            const.PATH_TARGETS
        ):
            return self._handle_leave(request.path)
        if request.path.startswith(const.PATH_EVACUATIONS):
            return self._handle_evacuation(request)
        return _make_error_response(404, 'no_such_call')

    def _is_authorized(self, request: Request) -> bool:
        scheme, _, key = request.headers.get('Authorization', '').partition(
            ' '
        )
        if scheme != 'Bearer' or not key:
            return False
        digest = settings.compute_digest(key)
        return any(
            hmac.compare_digest(digest, operator_digest)
            for operator_digest in self._key_digests
        )

    def _handle_change(self, request: Request) -> Response:
        try:
            change = _parse_change(request.get_data())
        except configuration_errors.ConfigurationError as error:
            return _make_error_response(422, 'invalid', detail=str(error))
        answer = self._backend.propose_change(change)
        if answer is None:
            return _make_error_response(
                503, 'no_answer_yet', outcome='unknown'
            )
        return _make_change_response(answer)

    def _handle_list_records(self) -> Response:
        all_records = self._backend.list_records()
        body = {
            'revision': all_records.revision,
            'records': [
                {
                    'kind': record.kind,
                    'name': record.name,
                    'number': record.number,
                    'revision': record.revision,
                    'is_deleted': record.is_deleted,
                    'content': json.loads(record.content or b'null'),
                }
                for record in all_records.records
            ],
        }
        return _make_json_response(200, body)

    def _handle_evacuation(self, request: Request) -> Response:
        """Evacuate a failure domain, or with DELETE withdraw it."""
        domain = request.path[len(const.PATH_EVACUATIONS) :]
        if request.method not in ('POST', 'DELETE') or '/' in domain:
            return _make_error_response(404, 'no_such_call')
        # The path is decoded leniently; no name contains what replaces an
        # encoding that is not valid.
        if not bounds.is_text(domain) or '\ufffd' in domain:
            return _make_error_response(404, 'no_such_domain')
        ordered = self._backend.order_evacuation(
            domain, is_evacuated=request.method == 'POST'
        )
        if ordered is None:
            return _make_error_response(503, 'no_answer_yet')
        if ordered.outcome is evacuation.Outcome.SUPERSEDED:
            return _make_error_response(503, 'changed_meanwhile')
        if ordered.outcome is evacuation.Outcome.REFUSED:
            return _make_error_response(422, 'too_many_domains')
        return _make_json_response(
            200,
            {
                'domain': domain,
                'outcome': ordered.outcome.value,
                'revision': ordered.revision,
            },
        )

    def _handle_leave(self, path: str) -> Response:
        target_id, _, action = path[len(const.PATH_TARGETS) :].partition('/')
        if not target_id or action != 'leave':
            return _make_error_response(404, 'no_such_call')
        self._backend.order_leave(target_id)
        return _make_json_response(
            202, {'target': target_id, 'ordered': 'leave'}
        )


def _make_json_response(status: int, body: typing.Any) -> Response:
    return Response(
        json.dumps(body) + '\n',
        status=status,
        content_type='application/json',
    )


def _make_error_response(status: int, reason: str, **details: str) -> Response:
    return _make_json_response(status, {'error': {'reason': reason} | details})


def _make_change_response(answer: configuration.ChangeAnswer) -> Response:
    body = {
        'change': answer.change,
        'outcome': answer.outcome.value,
        'revision': answer.revision,
        'conflicts': [
            {
                'kind': conflict.kind,
                'name': conflict.name,
                'expected': conflict.expected,
                'number': conflict.number,
                'winner': conflict.winner,
            }
            for conflict in answer.conflicts
        ],
    }
    is_accepted = answer.outcome is configuration.ChangeOutcome.ACCEPTED
    return _make_json_response(200 if is_accepted else 409, body)


def _parse_change(data: bytes) -> configuration.Change:
    """Parse and validate a change.

    :param data: the request body
    :returns: the change
    :raises ConfigurationError: if the body or a record is not valid
    """
    try:
        value = json.loads(data)
        edits = [_parse_edit(edit_value) for edit_value in value['edits']]
        change = configuration.Change(change=str(value['change']), edits=edits)
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
    ) as error:
        raise InvalidRequestError(f'malformed body: {error!r}') from error
    if not edits or len(edits) > configuration_const.MAX_EDITS:
        raise InvalidRequestError('edits: list is empty or too long')
    if not bounds.is_text(change.change, 100):
        raise InvalidRequestError('change: expected 1 to 100 characters')
    return change


def _parse_edit(value: dict[str, typing.Any]) -> configuration.Edit:
    content = value.get('content')
    kind, name = str(value['kind']), str(value['name'])
    if not bounds.is_text(kind) or not bounds.is_text(name):
        raise InvalidRequestError('kind, name: expected short texts')
    if not bounds.is_count(value['expected'], bounds.LONG_BITS):
        raise InvalidRequestError(f'{name}: expected: out of range')
    edit = configuration.Edit(
        kind=kind,
        name=name,
        expected=value['expected'],
        content=json.dumps(content).encode() if content else b'',
        is_deleted=not content,
    )
    if edit.is_deleted:
        return edit
    if len(edit.content) > configuration_const.MAX_CONTENT_BYTES:
        raise InvalidRequestError(f'{edit.name}: content is too large')
    _check_record(edit, content)
    return edit


def _check_record(edit: configuration.Edit, content: typing.Any) -> None:
    """Validate a record's content, and that it matches the edit.

    Content of a schema version that is not known here is accepted; only its
    kind and name are checked.

    :param edit: the edit
    :param content: its content
    :raises ConfigurationError: if the content is not valid
    """
    path = pathlib.Path(f'{edit.kind}/{edit.name}')
    try:
        checked_content = records.check(content, path)
    except configuration_errors.UnknownSchemaError:
        checked_content = content
    content_key = (
        checked_content.get(configuration_const.ATTR_KIND),
        checked_content.get(configuration_const.ATTR_NAME),
    )
    if content_key != (edit.kind, edit.name):
        raise InvalidRequestError(
            f'{path}: kind or name differs from that of the edit'
        )
