"""Define what the scheduler asks of its process."""

import dataclasses
import typing

from bambooring_core.dispatch import messages as dispatch


@dataclasses.dataclass(slots=True, kw_only=True)
class StartCall:
    """Ask for a call to the target."""

    start: dispatch.Start


@dataclasses.dataclass(slots=True, kw_only=True)
class AbortCall:
    """Ask to end a call to the target."""

    attempt_id: int


@dataclasses.dataclass(slots=True, kw_only=True)
class SendMessage:
    """Ask to send a message to an entry instance's incarnation."""

    owner: int
    message: typing.Any


Effect = StartCall | AbortCall | SendMessage
