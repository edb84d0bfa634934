"""Define the result of an admission check."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Refusal:
    """Why a request is not admitted, and when to retry, in seconds."""

    reason: str
    retry_after_s: float
