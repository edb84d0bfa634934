"""Define what routing is told and asked."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetQuery:
    """Say what a target is wanted for; ``prefix`` is 0 for none."""

    service: str
    excluded_targets: set[str] = dataclasses.field(default_factory=set)
    prefix_hash: int = 0
