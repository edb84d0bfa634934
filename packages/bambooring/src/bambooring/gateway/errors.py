"""Define the errors that keep a gateway process from starting."""

from bambooring import errors


class GatewayError(errors.ServerError):
    """A gateway process can't run; the message says why."""
