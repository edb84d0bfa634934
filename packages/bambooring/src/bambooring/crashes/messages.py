"""Define what instances tell each other about crashes of targets."""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'crashes.capnp')
)


class CauseKind(enum.StrEnum):
    """What may have crashed a target.

    REQUEST is one request, known by its path, client account and body. The
    others are parts of prompts, which many requests share: some request with
    an ANSWERED_PART was answered before, none with a NEW_PART.
    """

    REQUEST = 'request'
    ANSWERED_PART = 'answeredPart'
    NEW_PART = 'newPart'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Suspect:
    """A possible cause of a crash, by its key."""

    key: int
    kind: CauseKind


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Crash:
    """A crash of one run of a target, and what was waiting there for answers.

    ``id`` is the same at all instances that saw the crash. ``quarantine_ms``
    is how long a suspect's first quarantine lasts.
    """

    id: int
    age_ms: int
    quarantine_ms: int
    suspects: list[Suspect]


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Acquittal:
    """A cause cleared of crashes, because it was answered after them."""

    key: int
    crash_ids: list[int]


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Trial:
    """A probe of a suspect; without time left it is over."""

    key: int
    time_left_ms: int


@codec.register(SCHEMA, 190)
@dataclasses.dataclass(slots=True, kw_only=True)
class CrashNews:
    """What an instance has learnt of crashes.

    Any part of it may arrive repeatedly, late and in any order.
    ``answered_keys`` are parts that another instance takes for new ones, but
    that were answered before.
    """

    crashes: list[Crash] = dataclasses.field(default_factory=list)
    acquittals: list[Acquittal] = dataclasses.field(default_factory=list)
    answered_keys: list[int] = dataclasses.field(default_factory=list)
    trials: list[Trial] = dataclasses.field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Return whether there is no news."""
        return not (
            self.crashes
            or self.acquittals
            or self.answered_keys
            or self.trials
        )
