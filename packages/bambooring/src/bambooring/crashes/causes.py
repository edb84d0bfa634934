"""Name what a request has in common with others that may crash targets."""

import dataclasses
import hashlib
import typing

_KEY_BYTES: typing.Final = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class Causes:
    """The keys of everything about a request that could crash a target.

    ``shared_parts`` are the parts of its prompt without the last one, which
    is in ``own_parts``: no other request has it yet. ``request`` stands for
    the request as a whole.
    """

    shared_parts: tuple[int, ...]
    own_parts: tuple[int, ...]
    request: int


def compute_causes(
    *,
    prompt_parts: tuple[str, ...],
    method: str,
    request_target: str,
    account: str,
    body: bytes | bytearray,
) -> Causes:
    """Return the keys of a request's possible causes.

    :param prompt_parts: the ids of the parts of its prompt
    :param method: the HTTP method
    :param request_target: the path with the query
    :param account: the name of the client account, which may be empty
    :param body: the body
    """
    parts = [_hash(b'part', part.encode()) for part in prompt_parts]
    fields = (method, request_target, account)
    return Causes(
        shared_parts=tuple(dict.fromkeys(parts[:-1])),
        own_parts=tuple(parts[-1:]),
        request=_hash(b'request', *(field.encode() for field in fields), body),
    )


def compute_crash_id(target_id: str, born_ms: int) -> int:
    """Return the number of a crash of one run of a target."""
    return _hash(b'crash', target_id.encode(), str(born_ms).encode())


def _hash(*fields: bytes | bytearray) -> int:
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8, 'big'))
        digest.update(field)
    return int.from_bytes(digest.digest(), 'big')
