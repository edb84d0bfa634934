"""Define the effects that the scheduler's caller carries out."""

import dataclasses
import typing

from bambooring_core.dispatch import messages as dispatch


@dataclasses.dataclass(slots=True, kw_only=True)
class StartCall:
    """Start an attempt's call to the engine."""

    start: dispatch.Start


@dataclasses.dataclass(slots=True, kw_only=True)
class AbortCall:
    """Abort an attempt's call to the engine."""

    attempt_id: int


@dataclasses.dataclass(slots=True, kw_only=True)
class SendMessage:
    """Send a message to an entry instance.

    ``owner`` is the incarnation of the entry instance.
    """

    owner: int
    message: typing.Any


Effect = StartCall | AbortCall | SendMessage
