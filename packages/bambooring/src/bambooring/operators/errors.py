"""Define the errors of the operators' side."""

from bambooring import errors


class OperatorError(errors.ServerError):
    """Be the base of the errors of the operators' side."""


class UnreachableError(OperatorError):
    """Report that no control replica answered."""


class ResponseError(OperatorError):
    """Report an answer that refuses a call."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f'{status}: {reason}')
        self.status = status
        self.reason = reason
