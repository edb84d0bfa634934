"""Define the errors of evacuations."""

from bambooring import errors


class EvacuationError(errors.ServerError):
    """Base class of the errors of evacuations."""


class UnknownDomainError(EvacuationError):
    """Raised for an order that names no failure domain of the cluster."""
