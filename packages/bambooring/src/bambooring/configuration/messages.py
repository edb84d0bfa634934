"""Define the commands and messages of configuration.

A record's ``number`` counts its own versions from 1; ``revision`` counts
the accepted changes of the whole configuration. ``content`` is the record
as it was written, in JSON.
"""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'configuration.capnp')
)


@codec.register(SCHEMA, 70)
@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """Hold one version of a record."""

    kind: str
    name: str
    number: int
    revision: int
    content: bytes
    is_deleted: bool = False


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Edit:
    """Ask for a record's next version; ``expected`` is the present one."""

    kind: str
    name: str
    expected: int
    content: bytes = b''
    is_deleted: bool = False


@codec.register(SCHEMA, 71)
@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """Ask for several edits, all or none."""

    change: str
    edits: list[Edit]


class ChangeOutcome(enum.StrEnum):
    """Say what became of a change."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    MISMATCH = 'mismatch'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Conflict:
    """Name a record that is not at the expected number, and who won."""

    kind: str
    name: str
    expected: int
    number: int
    winner: str


@codec.register(SCHEMA, 72)
@dataclasses.dataclass(slots=True, kw_only=True)
class ChangeAnswer:
    """Answer a change; the same again when it is sent again."""

    change: str
    digest: bytes
    outcome: ChangeOutcome
    revision: int
    conflicts: list[Conflict] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA, 73)
@dataclasses.dataclass(slots=True, kw_only=True)
class Subscribe:
    """Ask for the records after a revision, now and as they change."""

    revision: int


@codec.register(SCHEMA, 74)
@dataclasses.dataclass(slots=True, kw_only=True)
class Records:
    """Carry what changed between two revisions."""

    since: int
    revision: int
    records: list[Record]


@codec.register(SCHEMA, 75)
@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """Tell control replicas what an entry instance holds."""

    instance: str
    failure_domain: str
    incarnation: int
    held: int
    in_force: int
    running: int
    is_leaving: bool
    unknown_schemas: int = 0


@codec.register(SCHEMA, 76)
@dataclasses.dataclass(slots=True, kw_only=True)
class StoreHead:
    """Hold the revision in a snapshot."""

    revision: int


@codec.register(SCHEMA, 77)
@dataclasses.dataclass(slots=True, kw_only=True)
class Winner:
    """Hold which change made a record's present version."""

    kind: str
    name: str
    change: str
