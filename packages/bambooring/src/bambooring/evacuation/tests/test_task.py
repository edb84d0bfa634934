"""Test how evacuations reach entry instances."""

import typing

from bambooring.evacuation import messages
from bambooring.evacuation import task


class _Link:
    """Record the messages that are sent over a link."""

    name = 'replica'

    def __init__(self):
        self.sent = []

    def send(self, message):
        """Record a message."""
        self.sent.append(message)


def _make(revision, *domains):
    return messages.Evacuations(
        revision=revision, failure_domains=list(domains)
    )


def _make_receiver():
    applied: list[list[str]] = []
    return task.EvacuationReceiver(applied.append), applied


def test_replica_that_lags_is_ignored():
    """An older revision of a replica that lags doesn't undo a newer one."""
    receiver, applied = _make_receiver()
    receiver.apply(_make(2, 'a'), 'r1')
    receiver.apply(_make(1), 'r2')
    receiver.apply(_make(2, 'a'), 'r3')
    assert applied == [['a']]


def test_missed_change_is_asked_for():
    """An instance that missed a change asks the replica that knows of it."""
    receiver, applied = _make_receiver()
    link: typing.Any = _Link()
    assert not receiver.request_newer(link, 0)
    assert receiver.request_newer(link, 1)
    assert link.sent == [messages.EvacuationsRequest(revision=0)]
    receiver.apply(_make(1, 'a'), 'r1')
    assert not receiver.request_newer(link, 1)
    assert applied == [['a']]


def test_each_change_is_sent_once_to_each_instance():
    """Each flush of the log doesn't send unchanged evacuations again."""
    links: typing.Any = [_Link(), _Link()]
    known = [_make(0)]
    publisher = task.EvacuationPublisher(
        get_evacuations=lambda: known[0], get_entry_links=lambda: links
    )
    publisher.send_changes()
    known[0] = _make(1, 'a')
    publisher.send_changes()
    publisher.send_changes()
    assert [link.sent for link in links] == [[_make(1, 'a')]] * 2


def test_request_is_answered_only_with_something_newer():
    """A replica that lags itself doesn't answer with what is outdated."""
    link: typing.Any = _Link()
    publisher = task.EvacuationPublisher(
        get_evacuations=lambda: _make(1, 'a'), get_entry_links=lambda: []
    )
    publisher.handle_request(link, messages.EvacuationsRequest(revision=1))
    publisher.greet(link)
    publisher.handle_request(link, messages.EvacuationsRequest(revision=0))
    assert link.sent == [_make(1, 'a')] * 2
