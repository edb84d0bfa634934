"""Define the errors of configuration."""

from bambooring import errors


class ConfigurationError(errors.ServerError):
    """Be the base of the errors of configuration."""


class InvalidRecordError(ConfigurationError):
    """Report a record that its schema refuses."""


class UnknownSchemaError(ConfigurationError):
    """Report a record of a schema version not known here."""
