"""Store records on an entry instance and put them in force in two steps.

A revision is first held, then put in force once every other live entry
instance of the failure domain (its neighbours) holds it too. An instance
that restarts in a domain that is cut off from the others therefore finds,
at any neighbour, all that was in force.
"""

import collections.abc
import dataclasses
import typing

import structlog

from bambooring.configuration import const
from bambooring.configuration import errors
from bambooring.configuration import messages
from bambooring.configuration import records as records_module
from bambooring.configuration import state

LOG = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class View:
    """Configuration in force at a revision; not changed once built.

    ``accounts_by_digest`` has the client accounts by the digests of their
    keys. ``unknown_schemas`` counts the records that can't be parsed here.
    """

    revision: int = 0
    services: dict[str, records_module.Service] = dataclasses.field(
        default_factory=dict
    )
    accounts: dict[str, records_module.ClientAccount] = dataclasses.field(
        default_factory=dict
    )
    accounts_by_digest: dict[str, records_module.ClientAccount] = (
        dataclasses.field(default_factory=dict)
    )
    groups: dict[str, records_module.ModelGroup] = dataclasses.field(
        default_factory=dict
    )
    unknown_schemas: int = 0


ParseRecord = collections.abc.Callable[[bytes], typing.Any]


class LocalRecordStore:
    """Records that an entry instance holds and the view in force.

    :param parse_record: turns the content of a record into an object
    """

    def __init__(
        self, parse_record: ParseRecord = records_module.parse
    ) -> None:
        self._parse_record = parse_record
        self.revision_held = 0
        self.records: dict[state.RecordKey, messages.Record] = {}
        self.view = View()
        self._parsed_records: dict[state.RecordKey, typing.Any] = {}
        self._unparsed_keys: set[state.RecordKey] = set()
        self._ready_at: float | None = None

    @property
    def revision_in_force(self) -> int:
        """Return the revision in force, 0 if there is none."""
        return self.view.revision

    def is_ready(self, now: float) -> bool:
        """Return whether the instance may put in force what it holds.

        :param now: the current time in seconds
        :returns: True once a source has sent records and the others have
            had ``READY_DELAY_S`` to do so
        """
        return self._ready_at is not None and now >= self._ready_at

    def handle_records(self, message: messages.Records, now: float) -> bool:
        """Store records from a control replica or another entry instance.

        :param message: the records
        :param now: the current time in seconds
        :returns: False if the sender must start at an earlier revision
        """
        if message.since > self.revision_held:
            return False
        if self._ready_at is None:
            self._ready_at = now + const.READY_DELAY_S
        if message.revision <= self.revision_held:
            return True
        for record in message.records:
            key = (record.kind, record.name)
            stored = self.records.get(key)
            if stored is None or record.revision > stored.revision:
                self.records[key] = record
        self.revision_held = message.revision
        return True

    def get_records_since(self, revision: int) -> messages.Records:
        """Return the records that changed after a revision."""
        return state.select_records_since(
            self.records, revision, self.revision_held
        )

    def activate_held_revision(
        self, neighbour_revisions: list[int], now: float
    ) -> bool:
        """Put the held revision in force if all neighbours hold it.

        :param neighbour_revisions: the revisions that the other live entry
            instances of the failure domain hold
        :param now: the current time in seconds
        :returns: True if a newer revision is in force now
        """
        if self.revision_held <= self.revision_in_force or not self.is_ready(
            now
        ):
            return False
        if any(
            revision < self.revision_held for revision in neighbour_revisions
        ):
            return False
        self.view = self._build_view()
        return True

    def _build_view(self) -> View:
        for key, record in self.records.items():
            if record.revision > self.revision_in_force:
                self._update_parsed_record(key, record)
        view = View(
            revision=self.revision_held,
            unknown_schemas=len(self._unparsed_keys),
        )
        for parsed in self._parsed_records.values():
            _add_to_view(parsed, view)
        return view

    def _update_parsed_record(
        self, key: state.RecordKey, record: messages.Record
    ) -> None:
        """Parse one record; if that fails, keep its last parsed version."""
        self._unparsed_keys.discard(key)
        if record.is_deleted:
            self._parsed_records.pop(key, None)
            return
        try:
            self._parsed_records[key] = self._parse_record(record.content)
        except errors.ConfigurationError as error:
            self._unparsed_keys.add(key)
            LOG.warning(
                'cannot parse record; storing it without putting it in force',
                kind=record.kind,
                name=record.name,
                error=str(error),
            )


def _add_to_view(parsed: typing.Any, view: View) -> None:
    match parsed:
        case records_module.Service():
            view.services[parsed.name] = parsed
        case records_module.ClientAccount():
            view.accounts[parsed.name] = parsed
            for key in parsed.keys:
                view.accounts_by_digest[key.digest] = parsed
        case records_module.ModelGroup():
            view.groups[parsed.name] = parsed
