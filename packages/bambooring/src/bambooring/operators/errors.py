"""Define the errors of calls to the operators' API."""

from bambooring import errors


class OperatorError(errors.ServerError):
    """Base class of the errors of calls to the operators' API."""


class UnreachableError(OperatorError):
    """Raised if no control replica responded.

    Also raised if the outcome of a change is not known.
    """


class ResponseError(OperatorError):
    """Raised for an error response, or one that is not JSON.

    ``status`` is the HTTP status, ``reason`` the cause as text.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f'{status}: {reason}')
        self.status = status
        self.reason = reason
