"""Define the queries to the router."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetQuery:
    """What the target of an attempt is chosen by.

    ``excluded_targets`` are names of targets that must not be chosen.
    ``prefix_hash`` is the hash of the prompt's first part, 0 for none.
    """

    service: str
    excluded_targets: set[str] = dataclasses.field(default_factory=set)
    prefix_hash: int = 0
