"""Define the errors of bookings."""

from bambooring import errors


class BookingError(errors.ServerError):
    """Report a booking that can't be claimed."""
