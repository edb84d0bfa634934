"""Define the base class of all errors and the errors of the core."""


class BambooringError(Exception):
    """The base class of all errors that bambooring raises."""


class SettingsError(BambooringError):
    """Settings or declarations are invalid or unreadable."""


class FrameError(BambooringError):
    """Bytes are not a valid frame or message."""


class DatagramError(BambooringError):
    """A datagram is not a valid message of this cluster.

    The message is the reason by which the metrics count it.
    """


class DecoderFaultError(BambooringError):
    """A decoder met an error that it doesn't expect, as a fault of its own."""


class ReportError(BambooringError):
    """A report of an engine can't be read."""


class ResponseAbortedError(BambooringError):
    """A response is aborted on purpose, so that it can't look complete."""


class MemoryShortError(BambooringError):
    """A large request body is refused, since memory is short."""


class HandshakeError(BambooringError):
    """A handshake failed.

    The message is the reason by which the metrics count the closed link.
    """
