"""Define the errors of replication."""

from bambooring import errors


class ReplicationError(errors.ServerError):
    """Base class of the replication errors."""


class StorageError(ReplicationError):
    """Raised when the data folder can't be written at present."""


class CorruptedDataError(ReplicationError):
    """Raised when the content of a file can't be trusted."""
