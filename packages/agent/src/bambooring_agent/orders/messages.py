"""Define what a rank's engine can do and what orders ask for."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineState:
    """Hold what an engine says of itself; 0 stands for no switch."""

    step: int
    in_force: int
    armed: int


class RankEngine(typing.Protocol):
    """Run steps by a map; what it promised survives the agent."""

    def read_state(self) -> EngineState:
        """Return the engine's state."""

    def stage(self, switch: int, expert_map: bytes) -> None:
        """Load what a map needs."""

    def arm(self, switch: int, step: int, fence: int) -> bool:
        """Promise to hold at a step; False if it is too late."""

    def decide(self, switch: int, is_commit: bool) -> None:
        """Go on at the armed step, with the new map or the old one."""


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToControl:
    """Ask for a message to a control replica; all of them if empty."""

    replica: str
    message: typing.Any
