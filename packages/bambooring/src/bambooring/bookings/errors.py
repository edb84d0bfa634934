"""Define the errors of bookings."""

from bambooring import errors


class BookingError(errors.ServerError):
    """Booking that can't be claimed."""
