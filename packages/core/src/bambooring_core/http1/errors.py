"""Define the errors of HTTP/1.1 connections."""

import enum

from bambooring_core import errors


class Http1Error(errors.BambooringError):
    """An error after which the connection can't be used any more."""


class Failure(enum.StrEnum):
    """The reason why a call to a server has no complete response.

    NOT_WRITTEN means that ``Call.may_write`` returned False once connected, so
    that nothing was sent.
    """

    CONNECT = 'connect_failed'
    CONNECT_TIMEOUT = 'connect_timeout'
    RESET = 'reset'
    CLOSED_EARLY = 'closed_early'
    MALFORMED = 'malformed'
    NOT_WRITTEN = 'not_written'


class RequestError(Http1Error):
    """A request that violates the protocol or exceeds a limit.

    ``status`` is the HTTP status of the response, ``reason`` its reason code.
    ``retry_after_s`` is set if the request has not run and may be repeated.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
