"""Define the commands and messages of configuration.

The ``number`` of a record is its own version, counted from 1; ``revision``
counts the accepted changes of the whole configuration. ``content`` is the
record as it was written, in JSON.
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
    """One version of a configuration record, or of its deletion."""

    kind: str
    name: str
    number: int
    revision: int
    content: bytes
    is_deleted: bool = False


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Edit:
    """Request for the next version of a record.

    ``expected`` is the number of its current version, 0 if it is new.
    """

    kind: str
    name: str
    expected: int
    content: bytes = b''
    is_deleted: bool = False


@codec.register(SCHEMA, 71)
@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """Request to apply all of several edits or none.

    ``change`` is an id that makes the request idempotent.
    """

    change: str
    edits: list[Edit]


class ChangeOutcome(enum.StrEnum):
    """Result of a change.

    ``conflict``: a record was not at its expected number. ``mismatch``: an
    earlier change with the same id had other edits.
    """

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    MISMATCH = 'mismatch'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Conflict:
    """Record that is not at the expected number.

    ``winner`` is the id of the change that made its current version.
    """

    kind: str
    name: str
    expected: int
    number: int
    winner: str


@codec.register(SCHEMA, 72)
@dataclasses.dataclass(slots=True, kw_only=True)
class ChangeAnswer:
    """Answer to a change; the same again if the change is resent.

    ``digest`` is the SHA-256 digest of the encoded change.
    """

    change: str
    digest: bytes
    outcome: ChangeOutcome
    revision: int
    conflicts: list[Conflict] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA, 73)
@dataclasses.dataclass(slots=True, kw_only=True)
class Subscribe:
    """Request for the records after a revision, now and as they change."""

    revision: int


@codec.register(SCHEMA, 74)
@dataclasses.dataclass(slots=True, kw_only=True)
class Records:
    """Records that changed after ``since``, up to ``revision``."""

    since: int
    revision: int
    records: list[Record]


@codec.register(SCHEMA, 75)
@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """State of an entry instance, reported to the control replicas.

    ``held`` and ``in_force`` are revisions, ``running`` counts requests.
    """

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
    """Revision of the record store, as saved in a snapshot."""

    revision: int


@codec.register(SCHEMA, 77)
@dataclasses.dataclass(slots=True, kw_only=True)
class Winner:
    """Id of the change that made a record's current version, in a snapshot."""

    kind: str
    name: str
    change: str
