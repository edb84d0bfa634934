"""Define the interface of a rank's engine and the effects of orders."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineState:
    """The state that a rank's engine reports.

    ``step`` is the next step to run. ``in_force`` is the switch whose map is
    in force and ``armed`` the switch that the engine is armed for; both are 0
    for none.
    """

    step: int
    in_force: int
    armed: int


class RankEngine(typing.Protocol):
    """The engine of one rank, which runs steps by an expert map.

    It keeps an armed switch when the agent restarts.
    """

    def read_state(self) -> EngineState:
        """Return the current state."""

    def stage(self, switch: int, expert_map: bytes) -> None:
        """Load the experts that a switch's map needs."""

    def arm(self, switch: int, step: int, fence: int) -> bool:
        """Promise to hold at a step until the switch is decided.

        :returns: False if it is too late
        """

    def decide(self, switch: int, is_commit: bool) -> None:
        """Continue at the armed step, with the new map or the old one."""


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToControl:
    """Send a message to a control replica; an empty name stands for all."""

    replica: str
    message: typing.Any
