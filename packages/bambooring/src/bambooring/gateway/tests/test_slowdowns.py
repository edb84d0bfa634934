"""Test that slow ranks are reported on changes and while they are slow."""

import typing

from bambooring.gateway import slowdowns


class _Link:
    """Record the reports that are sent over a link."""

    def __init__(self) -> None:
        self.sent: list[list[float]] = []

    def send(self, message):
        """Record the slowdowns of a message."""
        self.sent.append([round(slowdown, 1) for slowdown in message.paces])


def _make_reporter():
    link: typing.Any = _Link()
    return link, slowdowns.SlowdownReporter(lambda: [link])


def test_no_slow_ranks():
    """A group without slow ranks is not reported."""
    link, reporter = _make_reporter()
    reporter.report('g', [1.0, 1.0], 0.0)
    reporter.report('g', [1.04, 1.0], 9.0)
    assert link.sent == []


def test_change_is_reported_at_once():
    """A rank is reported once when it turns slow and once when it recovers."""
    link, reporter = _make_reporter()
    reporter.report('g', [1.0, 3.0], 0.0)
    reporter.report('g', [1.0, 3.0], 0.1)
    reporter.report('g', [1.0, 1.0], 0.2)
    reporter.report('g', [1.0, 1.0], 9.0)
    assert link.sent == [[1.0, 3.0], [1.0, 1.0]]


def test_slow_rank_is_reported_again():
    """A slow rank is reported again before entry instances forget it."""
    link, reporter = _make_reporter()
    for step in range(100):
        reporter.report(
            'g', [1.0, 3.0], step * slowdowns.SLOWDOWN_REPEAT_INTERVAL_S / 10
        )
    assert 9 <= len(link.sent) <= 11


def test_report_after_reset():
    """After a reset, everything is reported again.

    Another replica may have led and reported something else meanwhile.
    """
    link, reporter = _make_reporter()
    reporter.report('g', [1.0, 3.0], 0.0)
    reporter.reset()
    reporter.report('g', [1.0, 3.0], 0.1)
    assert len(link.sent) == 2
