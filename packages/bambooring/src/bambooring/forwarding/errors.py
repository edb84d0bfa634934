"""Define errors in callers' requests and in resumed streams."""

from bambooring import errors


class RequestMalformedError(errors.ServerError):
    """A caller's request cannot be decoded; the message says why."""


class EventStreamError(errors.ServerError):
    """A response can't be passed on as a part of the caller's event stream.

    Raised if its ids don't increase, if it skips an event of a stream that it
    continues, and if an event has no id or is too large to be buffered.
    """
