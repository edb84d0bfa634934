"""Turn HTTP requests into calls, or refuse them, without I/O."""

import collections.abc
import dataclasses
import hashlib
import json
import typing

from bambooring.bookings import const as bookings_const
from bambooring.callers import const
from bambooring.callers import errors
from bambooring.configuration import local_store
from bambooring.configuration import records
from bambooring.dispatch import messages as dispatch
from bambooring_core.dispatch import messages as wire
from bambooring_core import settings


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """HTTP request as it was read; ``path`` includes the query string."""

    id: int
    request_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Estimate:
    """Expected work of a request.

    ``lane`` separates long requests from short ones. ``cost`` is relative
    to a completion of ``const.TOKENS_PER_COST_UNIT`` tokens. ``prefix_hash``
    is the hash of the prompt's first characters, 0 for none; requests that
    share it can share the target's prefix cache.
    """

    lane: wire.Lane = wire.Lane.SHORT
    cost: float = 1.0
    prefix_hash: int = 0


def find_account(
    authorization: str, view: local_store.View
) -> records.ClientAccount:
    """Return the client account that an API key belongs to.

    :param authorization: the value of the Authorization header
    :param view: the configuration in force
    :returns: the account
    :raises RequestRefusedError: if the key is missing or unknown
    """
    scheme, _, key = authorization.partition(' ')
    account = None
    if scheme.lower() == 'bearer' and key:
        digest = settings.compute_digest(key.strip())
        account = view.accounts_by_digest.get(digest)
    if account is None:
        raise errors.RequestRefusedError(
            401, const.REASON_ACCOUNT_KEY_REQUIRED
        )
    return account


def make_call(
    request: Request, account: records.ClientAccount, view: local_store.View
) -> dispatch.Call:
    """Return the call for a request.

    :param request: the request
    :param account: the account that sent it
    :param view: the configuration in force
    :returns: the call
    :raises RequestRefusedError: if the request is invalid or not allowed
    """
    path = request.path.partition('?')[0]
    if path == const.PATH_CHAT:
        return _make_chat_call(request, account, view)
    if path.startswith(const.PATH_SERVICES):
        return _make_service_call(request, account, view)
    raise errors.RequestRefusedError(404, const.REASON_NO_SUCH_PATH)


def _make_chat_call(
    request: Request, account: records.ClientAccount, view: local_store.View
) -> dispatch.Call:
    if request.method != 'POST':
        raise errors.RequestRefusedError(405, const.REASON_METHOD_NOT_ALLOWED)
    body = _parse_chat_body(request.body)
    service = _find_service(str(body.get('model')), account, view)
    if not service.is_chat:
        raise errors.RequestRefusedError(404, const.REASON_NO_SUCH_SERVICE)
    estimate = estimate_chat(body, service)
    return _build_call(
        request,
        account,
        service,
        const.PATH_CHAT,
        wire.Kind.IDEMPOTENT,
        estimate,
    )


def _parse_chat_body(body: bytes) -> dict[str, typing.Any]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.RequestRefusedError(
            400, const.REASON_INVALID_BODY
        ) from error
    if not isinstance(value, dict):
        raise errors.RequestRefusedError(400, const.REASON_INVALID_BODY)
    if not isinstance(value.get('messages'), list):
        raise errors.RequestRefusedError(400, const.REASON_INVALID_BODY)
    return value


def estimate_chat(
    body: dict[str, typing.Any], service: records.Service
) -> Estimate:
    """Return the estimate of a chat request's work.

    :param body: the parsed JSON body
    :param service: the service it is for
    :returns: its lane, cost and prefix hash
    """
    text = ''.join(_get_message_texts(body['messages']))
    prompt_tokens = len(text) / const.CHARACTERS_PER_TOKEN
    completion_tokens = body.get(
        'max_completion_tokens', body.get('max_tokens')
    )
    if not isinstance(completion_tokens, int) or completion_tokens < 1:
        completion_tokens = const.DEFAULT_COMPLETION_TOKENS
    weighted_tokens = (
        completion_tokens + prompt_tokens * const.PROMPT_TOKEN_COST
    )
    is_long = (
        completion_tokens > service.long_tokens
        or prompt_tokens > service.long_tokens
    )
    return Estimate(
        lane=wire.Lane.LONG if is_long else wire.Lane.SHORT,
        cost=max(0.01, weighted_tokens / const.TOKENS_PER_COST_UNIT),
        prefix_hash=_hash_prefix(text[: const.PREFIX_CHARACTERS]),
    )


def _get_message_texts(
    items: list[typing.Any],
) -> collections.abc.Iterator[str]:
    for item in items:
        if isinstance(item, dict) and isinstance(item.get('content'), str):
            yield item['content']


def _hash_prefix(text: str) -> int:
    if not text:
        return 0
    data = text.encode('utf-8', 'surrogatepass')
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest, 'little')


def _make_service_call(
    request: Request, account: records.ClientAccount, view: local_store.View
) -> dispatch.Call:
    service_and_path = request.path[len(const.PATH_SERVICES) :]
    name = service_and_path.partition('?')[0].partition('/')[0]
    service = _find_service(name, account, view)
    if service.is_chat:
        raise errors.RequestRefusedError(404, const.REASON_NO_SUCH_SERVICE)
    kind = wire.Kind.BOOKING
    if request.method in service.idempotent_methods:
        kind = wire.Kind.IDEMPOTENT
    path = service_and_path[len(name) :]
    if not path.startswith('/'):
        path = '/' + path
    call = _build_call(request, account, service, path, kind, Estimate())
    if kind is wire.Kind.BOOKING:
        call.idempotency_key = _get_idempotency_key(request)
    return call


def _get_idempotency_key(request: Request) -> str:
    key = ''
    for name, value in request.headers:
        if name.lower() == const.HEADER_IDEMPOTENCY_KEY.lower():
            key = value
    if len(key.encode()) > bookings_const.MAX_KEY_BYTES:
        raise errors.RequestRefusedError(
            400, const.REASON_INVALID_IDEMPOTENCY_KEY
        )
    return key


def _compute_digest(call: dispatch.Call) -> bytes:
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, 'little'))
        digest.update(part)
    return digest.digest()


def _find_service(
    name: str, account: records.ClientAccount, view: local_store.View
) -> records.Service:
    service = view.services.get(name)
    if service is None:
        raise errors.RequestRefusedError(404, const.REASON_NO_SUCH_SERVICE)
    if account.services is not None and name not in account.services:
        raise errors.RequestRefusedError(403, const.REASON_SERVICE_NOT_ALLOWED)
    return service


def _build_call(
    request: Request,
    account: records.ClientAccount,
    service: records.Service,
    path: str,
    kind: wire.Kind,
    estimate: Estimate,
) -> dispatch.Call:
    call = dispatch.Call(
        id=request.id,
        request_id=request.request_id,
        account=account,
        service=service,
        kind=kind,
        method=request.method,
        path=path,
        headers=[
            wire.Header(name=name, value=value)
            for name, value in request.headers
            if name.lower() not in const.HEADERS_NOT_FORWARDED
        ],
        body=request.body,
        lane=estimate.lane,
        cost=estimate.cost,
        prefix_hash=estimate.prefix_hash,
    )
    call.digest = _compute_digest(call)
    return call
