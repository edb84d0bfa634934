"""Tell of slow ranks at each change, and for as long as they are slow."""

import typing

from bambooring.gateway import slowdowns


class _Link:
    """Collect what is sent."""

    def __init__(self) -> None:
        self.sent: list[list[float]] = []

    def send(self, message):
        """Take a message."""
        self.sent.append([round(slowdown, 1) for slowdown in message.paces])


def _make_reporter():
    link: typing.Any = _Link()
    return link, slowdowns.SlowdownReporter(lambda: [link])


def test_nothing_to_tell():
    """A group without slow ranks is not spoken of."""
    link, reporter = _make_reporter()
    reporter.report('g', [1.0, 1.0], 0.0)
    reporter.report('g', [1.04, 1.0], 9.0)
    assert link.sent == []


def test_change_is_told_at_once():
    """A rank that turns slow or sound again is told of once."""
    link, reporter = _make_reporter()
    reporter.report('g', [1.0, 3.0], 0.0)
    reporter.report('g', [1.0, 3.0], 0.1)
    reporter.report('g', [1.0, 1.0], 0.2)
    reporter.report('g', [1.0, 1.0], 9.0)
    assert link.sent == [[1.0, 3.0], [1.0, 1.0]]


def test_slow_rank_is_told_again():
    """What entry instances would forget is told again in time."""
    link, reporter = _make_reporter()
    for step in range(100):
        reporter.report(
            'g', [1.0, 3.0], step * slowdowns.SLOWDOWN_REPEAT_INTERVAL_S / 10
        )
    assert 9 <= len(link.sent) <= 11


def test_new_leader_tells_all():
    """After another replica has led, what it told may be different."""
    link, reporter = _make_reporter()
    reporter.report('g', [1.0, 3.0], 0.0)
    reporter.reset()
    reporter.report('g', [1.0, 3.0], 0.1)
    assert len(link.sent) == 2
