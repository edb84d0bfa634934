"""Define what an entry instance knows of a cold target and its permits."""

import dataclasses
import math

from bambooring.balancing import runs as runs_module
from bambooring.targets import messages as targets


@dataclasses.dataclass(slots=True, kw_only=True)
class ColdRun:
    """A run of a target that is cold until ``until_s``.

    ``stated_s`` is when a response of the target last said that it is cold.
    No permits are requested before ``ask_from_s``, and they were last
    requested at ``asked_s``. ``awaited_sequence`` is the sequence number of
    the request that has no answer yet, 0 for none; ``unanswered_count`` is how
    many requests in a row had none. ``permit_ends_s`` are the times at which
    the held permits expire, in rising order and of the permits' clock; all
    other times are the reactor's.
    """

    target: targets.Target
    until_s: float
    stated_s: float = -math.inf
    ask_from_s: float = 0.0
    asked_s: float = -math.inf
    awaited_sequence: int = 0
    unanswered_count: int = 0
    permit_ends_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class Ask:
    """A request for permits, sent at ``sent_s`` of the permits' clock."""

    run: runs_module.Run
    wanted: int
    sent_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Demand:
    """Cold targets that could serve a request, the best one first.

    ``is_blocked`` means that no other target could take the request.
    """

    targets: list[targets.Target]
    is_blocked: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class ColdChange:
    """A target that has become cold or warm, for the log."""

    target: targets.Target
    is_cold: bool
    remaining_s: float
