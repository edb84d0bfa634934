"""Define what the gate asks of its process."""

import dataclasses
import typing

from bambooring_core.dispatch import messages as dispatch


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """Ask for a call to the target."""

    start: dispatch.Start


@dataclasses.dataclass(slots=True, kw_only=True)
class Abort:
    """Ask to end a call to the target."""

    attempt: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Send:
    """Ask to send a message to an entry instance's incarnation."""

    owner: int
    message: typing.Any


Effect = Call | Abort | Send
