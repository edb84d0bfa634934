"""Define what a check of a configuration finds."""

import dataclasses
import enum


class Severity(enum.StrEnum):
    """How a finding affects the use of a configuration.

    An ERROR is refused or can't be read. A WARNING is accepted, but has an
    entry that never matches, or limits that contradict each other. A NOTE
    only informs.
    """

    ERROR = 'error'
    WARNING = 'warning'
    NOTE = 'note'


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Finding:
    """One result of a check.

    ``code`` names the kind of finding and stays the same between releases,
    ``entry`` has the kind and name of the entry, ``text`` explains it.
    ``fields`` are the changed fields, if the finding is a difference.
    """

    severity: Severity
    code: str
    entry: str
    text: str
    fields: tuple[str, ...] = ()
