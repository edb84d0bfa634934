"""Check requests beyond what the parser does, and name its refusals."""

import h11

from bambooring_core.http1 import const
from bambooring_core.http1 import errors


def check_method(request: h11.Request) -> None:
    """Reject a request for a tunnel.

    After a success nothing could be sent or read on its connection any more.
    """
    if request.method == b'CONNECT':
        raise errors.RequestError(405, 'tunnel')


def check_framing(request: h11.Request) -> None:
    """Reject a request with Transfer-Encoding and Content-Length.

    Two parsers could disagree about the length of such a request.
    """
    names = [name for name, _ in request.headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise errors.RequestError(400, 'two_lengths')


def get_length(request: h11.Request) -> int | None:
    """Return the length of a request's body, None if it comes in chunks."""
    for name, value in request.headers:
        if name == b'content-length':
            return int(value)
        if name == b'transfer-encoding':
            return None
    return 0


def has_length(response: h11.Response) -> bool:
    """Return whether a response's end shows without that of its connection."""
    names = [name for name, _ in response.headers]
    return (
        b'content-length' in names
        or b'transfer-encoding' in names
        or response.status_code in const.STATUSES_WITHOUT_BODY
    )


def is_valid_status(status: int) -> bool:
    """Return whether a status is one of HTTP; the parser takes up to 999."""
    return 100 <= status <= const.MAX_STATUS


def make_refusal(error: h11.RemoteProtocolError) -> errors.RequestError:
    """Return the refusal of a request that the parser rejects."""
    status = error.error_status_hint
    if status == 431:
        return errors.RequestError(431, 'head_too_large')
    return errors.RequestError(status, 'malformed')
