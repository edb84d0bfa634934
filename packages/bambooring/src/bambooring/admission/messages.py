"""Define what admission answers."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Refusal:
    """Say why a request was not admitted; a wait in seconds."""

    reason: str
    retry_after_s: float
