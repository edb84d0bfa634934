"""Define the errors of replication."""

from bambooring import errors


class ReplicationError(errors.ServerError):
    """Be the base of the errors of replication."""


class StorageError(ReplicationError):
    """Report a data folder that can't be written now."""


class CorruptedDataError(ReplicationError):
    """Report files whose contents can't be trusted."""
