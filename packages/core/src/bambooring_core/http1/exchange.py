"""Let request handlers respond to a caller's request."""

import collections.abc
import typing

from bambooring_core.http1 import const
from bambooring_core.http1 import messages

if typing.TYPE_CHECKING:
    from bambooring_core.http1 import connection as connection_module


class Exchange:
    """One request of a caller and the response to it.

    ``on_disconnect`` is called if the connection closes before the response
    is complete, ``on_drained`` when the connection is no longer congested.
    """

    __slots__ = (
        '_connection',
        '_is_body_allowed',
        'is_done',
        'is_started',
        'on_drained',
        'on_disconnect',
        'request',
    )

    def __init__(
        self,
        connection: 'connection_module.Connection',
        request: messages.Request,
    ) -> None:
        self._connection = connection
        self._is_body_allowed = request.method != 'HEAD'
        self.request = request
        self.is_started = False
        self.is_done = False
        self.on_disconnect: collections.abc.Callable[[], None] | None = None
        self.on_drained: collections.abc.Callable[[], None] | None = None

    @property
    def is_congested(self) -> bool:
        """Whether too much output is waiting for the caller to read it."""
        return self._connection.is_congested

    def start(self, status: int, headers: messages.Headers) -> None:
        """Send the head of the response.

        :param status: the HTTP status
        :param headers: the headers; without a length the body is chunked
        """
        if self.is_done:
            return
        self.is_started = True
        if status in const.STATUSES_WITHOUT_BODY:
            self._is_body_allowed = False
        self._connection.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send a part of the response body, unless it must have none."""
        if self._is_body_allowed and not self.is_done:
            self._connection.send_data(data)

    def end(self) -> None:
        """Complete the response."""
        if self.is_done:
            return
        self.is_done = True
        self._connection.end_response()

    def respond(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a complete response with a Content-Length header.

        To a HEAD request the length is sent without the body.
        """
        if status in const.STATUSES_WITHOUT_BODY:
            body = b''
        length = str(len(body)).encode()
        self.start(status, [*headers, (b'Content-Length', length)])
        if body:
            self.write(body)
        self.end()

    def hold_answer(self, size: int) -> None:
        """Account for the parts of the response that are buffered elsewhere.

        :param size: their bytes in all
        """
        if not self.is_done:
            self._connection.hold_answer(size)

    def abort(self) -> None:
        """Reset the connection, so that the caller sees a failed response."""
        if self.is_done:
            return
        self.is_done = True
        self._connection.abort()
