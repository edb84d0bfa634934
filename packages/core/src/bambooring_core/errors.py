"""Define the base of every error and those of the core layer."""


class BambooringError(Exception):
    """Be the base of every error that bambooring raises."""


class SettingsError(BambooringError):
    """Report settings or declarations that can't be used."""


class FrameError(BambooringError):
    """Report bytes on a link that are not a valid frame."""


class ResponseAbortedError(BambooringError):
    """Break off an answer on purpose, so that it can't look whole."""


class HandshakeError(BambooringError):
    """Report a peer that failed to prove who it is."""
