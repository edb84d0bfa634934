"""Define the errors of configuration."""

from bambooring import errors


class ConfigurationError(errors.ServerError):
    """Base class of the configuration errors."""


class InvalidRecordError(ConfigurationError):
    """Raised for a record that doesn't match its schema."""


class UnknownSchemaError(ConfigurationError):
    """Raised for a record of a schema version that is not known here."""
