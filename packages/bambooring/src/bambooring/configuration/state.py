"""Apply changes to the records that control replicas store."""

import collections.abc
import hashlib
import typing

from bambooring.configuration import const
from bambooring.configuration import messages
from bambooring_core import codec

# The kind and the name of a record.
RecordKey = tuple[str, str]


class RecordStore:
    """All records and the answers to recent changes.

    Part of the replicated state, equal on every control replica.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[RecordKey, messages.Record] = {}
        self._answers: dict[str, messages.ChangeAnswer] = {}
        self._last_change_ids: dict[RecordKey, str] = {}

    def apply(self, change: messages.Change) -> messages.ChangeAnswer:
        """Accept or reject a change.

        :param change: the change
        :returns: its answer, the first one if it was answered before
        """
        digest = hashlib.sha256(codec.encode(change)).digest()
        earlier_answer = self._answers.get(change.change)
        if earlier_answer is not None:
            return self._repeat_answer(earlier_answer, digest)
        conflicts = list(self._find_conflicts(change))
        if conflicts:
            answer = messages.ChangeAnswer(
                change=change.change,
                digest=digest,
                outcome=messages.ChangeOutcome.CONFLICT,
                revision=self.revision,
                conflicts=conflicts,
            )
        else:
            self._apply_edits(change)
            answer = messages.ChangeAnswer(
                change=change.change,
                digest=digest,
                outcome=messages.ChangeOutcome.ACCEPTED,
                revision=self.revision,
            )
        self._remember_answer(answer)
        return answer

    def _repeat_answer(
        self, earlier_answer: messages.ChangeAnswer, digest: bytes
    ) -> messages.ChangeAnswer:
        if earlier_answer.digest == digest:
            return earlier_answer
        return messages.ChangeAnswer(
            change=earlier_answer.change,
            digest=digest,
            outcome=messages.ChangeOutcome.MISMATCH,
            revision=self.revision,
        )

    def _remember_answer(self, answer: messages.ChangeAnswer) -> None:
        self._answers[answer.change] = answer
        while len(self._answers) > const.MAX_REMEMBERED_ANSWERS:
            del self._answers[next(iter(self._answers))]

    def _find_conflicts(
        self, change: messages.Change
    ) -> collections.abc.Iterator[messages.Conflict]:
        for edit in change.edits:
            record_key = (edit.kind, edit.name)
            record = self.records.get(record_key)
            current_number = record.number if record else 0
            if edit.expected != current_number:
                yield messages.Conflict(
                    kind=edit.kind,
                    name=edit.name,
                    expected=edit.expected,
                    number=current_number,
                    winner=self._last_change_ids.get(record_key, ''),
                )

    def _apply_edits(self, change: messages.Change) -> None:
        self.revision += 1
        for edit in change.edits:
            record_key = (edit.kind, edit.name)
            self._last_change_ids[record_key] = change.change
            self.records[record_key] = messages.Record(
                kind=edit.kind,
                name=edit.name,
                number=edit.expected + 1,
                revision=self.revision,
                content=edit.content,
                is_deleted=edit.is_deleted,
            )

    def get_records_since(self, revision: int) -> messages.Records:
        """Return the records that changed after a revision.

        :param revision: the revision that the receiver has
        :returns: the message with the newer records
        """
        return select_records_since(self.records, revision, self.revision)

    def save(self) -> collections.abc.Iterator[typing.Any]:
        """Yield messages that together contain the whole state."""
        yield messages.StoreHead(revision=self.revision)
        yield from self.records.values()
        for (kind, name), change in self._last_change_ids.items():
            yield messages.Winner(kind=kind, name=name, change=change)
        yield from self._answers.values()

    def restore(self, message: typing.Any) -> bool:
        """Restore the part of the state in a message from :meth:`save`.

        :param message: the message
        :returns: False if it is not a message of this store
        """
        match message:
            case messages.StoreHead():
                self.revision = message.revision
            case messages.Record():
                self.records[message.kind, message.name] = message
            case messages.Winner():
                key = (message.kind, message.name)
                self._last_change_ids[key] = message.change
            case messages.ChangeAnswer():
                self._answers[message.change] = message
            case _:
                return False
        return True


def select_records_since(
    records: dict[RecordKey, messages.Record], since: int, revision: int
) -> messages.Records:
    """Return the records that changed after a revision.

    :param records: all records
    :param since: the revision that the receiver has
    :param revision: the revision that the sender has
    :returns: the message to send
    """
    newer_records = [
        record for record in records.values() if record.revision > since
    ]
    return messages.Records(
        since=since, revision=revision, records=newer_records
    )
