"""Find a second answer inside the body of the first one.

A target that answers twice on one connection writes the second answer where a
body without a length goes on, or where one with a length has broken off. What
stands before it is not known to be whole.
"""

import collections.abc
import typing

import h11

from bambooring.forwarding import messages
from bambooring_core.http1 import messages as http1

_HEAD_START: typing.Final = b'HTTP/1.'
# A body may quote other heads; further ones aren't looked at.
_MAX_HEADS: typing.Final = 16
_MAX_HEAD_BYTES: typing.Final = 16 * 1024

ReadHead = collections.abc.Callable[
    [http1.ResponseHead], messages.TargetResponse
]


def has_second_answer(
    body: bytes, surplus: bytes, attempt_id: str, read_head: ReadHead
) -> bool:
    """Return whether a body holds the head of an answer to its request.

    :param body: the body
    :param surplus: what the connection holds behind it, where a head may go on
    :param attempt_id: the id that the answer repeats
    :param read_head: decodes a head
    """
    return any(
        read_head(head).attempt_id == attempt_id
        for head in _find_heads(body, surplus)
    )


def _find_heads(
    body: bytes, surplus: bytes
) -> collections.abc.Iterator[http1.ResponseHead]:
    """Yield the heads that begin in a body."""
    data = body + surplus
    position = body.find(_HEAD_START)
    for _ in range(_MAX_HEADS):
        if position < 0:
            return
        head = _parse_head(data[position : position + _MAX_HEAD_BYTES])
        if head is not None:
            yield head
        position = body.find(_HEAD_START, position + 1)


def _parse_head(data: bytes) -> http1.ResponseHead | None:
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method='GET', target='/', headers=[('Host', '')]))
    try:
        parser.receive_data(data)
        event = parser.next_event()
    except h11.RemoteProtocolError:
        # It only looks like the start of a head.
        return None
    if not isinstance(event, h11.Response):
        return None
    return http1.ResponseHead(
        status=event.status_code, headers=list(event.headers.raw_items())
    )
