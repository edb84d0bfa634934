"""Answer operators over HTTP on a control replica."""

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
from bambooring.operators import const
from bambooring_core import settings

Response = werkzeug.wrappers.Response
Request = werkzeug.wrappers.Request


class Backend(typing.Protocol):
    """Carry out operators' calls in the control replica's thread."""

    def change(
        self, change: configuration.Change
    ) -> configuration.ChangeAnswer | None:
        """Propose a change and wait; None if no answer came in time."""

    def list_records(self) -> configuration.Records:
        """Return every record."""

    def describe(self) -> dict[str, typing.Any]:
        """Return the status."""

    def leave_target(self, target: str) -> None:
        """Order a target to leave."""


class InvalidCallError(configuration_errors.ConfigurationError):
    """Report a call's body that is not as the API asks."""


class Api:
    """Check operators' calls and pass them on."""

    def __init__(self, backend: Backend, key_digests: list[str]) -> None:
        self._backend = backend
        self._key_digests = key_digests

    def __call__(
        self, environ: dict, start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer one call."""
        request = Request(environ)
        response = self._answer(request)
        return response(environ, start_response)

    def _answer(self, request: Request) -> Response:
        if not self._is_operator(request):
            return _make_error(401, 'operator_key_required')
        call = (request.method, request.path)
        if call == ('POST', const.PATH_CHANGES):
            return self._change(request)
        if call == ('GET', const.PATH_RECORDS):
            return self._list_records()
        if call == ('GET', const.PATH_STATUS):
            return _make_json(200, self._backend.describe())
        if request.method == 'POST' and request.path.startswith(
            const.PATH_TARGETS
        ):
            return self._leave(request.path)
        return _make_error(404, 'no_such_call')

    def _is_operator(self, request: Request) -> bool:
        scheme, _, key = request.headers.get('Authorization', '').partition(
            ' '
        )
        if scheme != 'Bearer' or not key:
            return False
        digest = settings.compute_digest(key)
        return any(
            hmac.compare_digest(digest, known) for known in self._key_digests
        )

    def _change(self, request: Request) -> Response:
        try:
            change = _read_change(request.get_data())
        except configuration_errors.ConfigurationError as error:
            return _make_error(422, 'invalid', detail=str(error))
        answer = self._backend.change(change)
        if answer is None:
            return _make_error(503, 'no_answer_yet', outcome='unknown')
        return _make_change_response(answer)

    def _list_records(self) -> Response:
        listed = self._backend.list_records()
        value = {
            'revision': listed.revision,
            'records': [
                {
                    'kind': record.kind,
                    'name': record.name,
                    'number': record.number,
                    'revision': record.revision,
                    'is_deleted': record.is_deleted,
                    'content': json.loads(record.content or b'null'),
                }
                for record in listed.records
            ],
        }
        return _make_json(200, value)

    def _leave(self, path: str) -> Response:
        name, _, action = path[len(const.PATH_TARGETS) :].partition('/')
        if not name or action != 'leave':
            return _make_error(404, 'no_such_call')
        self._backend.leave_target(name)
        return _make_json(202, {'target': name, 'ordered': 'leave'})


def _make_json(status: int, value: typing.Any) -> Response:
    return Response(
        json.dumps(value) + '\n',
        status=status,
        content_type='application/json',
    )


def _make_error(status: int, reason: str, **more: str) -> Response:
    return _make_json(status, {'error': {'reason': reason} | more})


def _make_change_response(answer: configuration.ChangeAnswer) -> Response:
    value = {
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
    return _make_json(200 if is_accepted else 409, value)


def _read_change(data: bytes) -> configuration.Change:
    """Read a change from a call's body.

    :param data: the body
    :returns: the change
    :raises ConfigurationError: if the body or a record is not valid
    """
    try:
        value = json.loads(data)
        edits = [_read_edit(item) for item in value['edits']]
        change = configuration.Change(change=str(value['change']), edits=edits)
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidCallError(f'body: {error!r}') from error
    if not edits or len(edits) > configuration_const.MAX_EDITS:
        raise InvalidCallError('edits: too few or too many')
    if not 1 <= len(change.change) <= 100:
        raise InvalidCallError('change: expected 1 to 100 characters')
    return change


def _read_edit(item: dict[str, typing.Any]) -> configuration.Edit:
    content = item.get('content')
    edit = configuration.Edit(
        kind=str(item['kind']),
        name=str(item['name']),
        expected=int(item['expected']),
        content=json.dumps(content).encode() if content else b'',
        is_deleted=not content,
    )
    if edit.is_deleted:
        return edit
    if len(edit.content) > configuration_const.MAX_CONTENT_BYTES:
        raise InvalidCallError(f'{edit.name}: too large')
    _check_content(edit, content)
    return edit


def _check_content(edit: configuration.Edit, content: typing.Any) -> None:
    """Check a record; a version that is not known here passes."""
    path = pathlib.Path(f'{edit.kind}/{edit.name}')
    try:
        checked = records.check(content, path)
    except configuration_errors.UnknownSchemaError:
        checked = content
    named = (
        checked.get(configuration_const.ATTR_KIND),
        checked.get(configuration_const.ATTR_NAME),
    )
    if named != (edit.kind, edit.name):
        raise InvalidCallError(f'{path}: kind or name differs')
