"""Define errors in callers' requests and in resumed streams."""

from bambooring import errors


class RequestMalformedError(errors.ServerError):
    """A caller's request cannot be decoded; the message says why."""


class StreamGapError(errors.ServerError):
    """An event stream cannot be continued without losing an event.

    Raised if a resumed response skips an event, or if an event is too large
    to be buffered.
    """
