"""Find accounts and routes that have too few requests served."""

from bambooring.forwarding import const
from bambooring.forwarding import fairness


def _record_results(tracker, key, served, refused, now_s=0.0):
    for number in range(served + refused):
        tracker.record_result([key], is_served=number < served, now_s=now_s)


def test_no_key_is_underserved_without_refusals():
    """While all requests are served, no key goes before another."""
    tracker = fairness.FairnessTracker()
    _record_results(tracker, 'a', 9, 0)
    assert not tracker.is_underserved(['a', 'unknown'])


def test_served_share_decides_not_the_count():
    """A key's served share is compared, not its number of responses."""
    tracker = fairness.FairnessTracker()
    _record_results(tracker, 'large', 50, 50)
    _record_results(tracker, 'small', 5, 5)
    _record_results(tracker, 'least', 1, 9)
    assert not tracker.is_underserved(['large', 'small'])
    assert tracker.is_underserved(['large', 'least'])


def test_old_results_decay():
    """Results of many half-lives ago have no effect."""
    tracker = fairness.FairnessTracker()
    _record_results(tracker, 'a', 0, 20)
    _record_results(tracker, 'b', 20, 20)
    assert tracker.is_underserved(['a'])
    later_s = 20 * const.FAIRNESS_HALF_LIFE_S
    _record_results(tracker, 'b', 1, 1, later_s)
    _record_results(tracker, 'a', 1, 0, later_s)
    assert not tracker.is_underserved(['a'])


def test_number_of_keys_is_bounded(monkeypatch):
    """Keys without a result for a long time are dropped."""
    monkeypatch.setattr(const, 'FAIRNESS_MAX_KEYS', 10)
    tracker = fairness.FairnessTracker()
    for number in range(100):
        now_s = number * const.FAIRNESS_EXPIRY_S / 5
        _record_results(tracker, str(number), 1, 0, now_s)
    assert len(tracker._counts) <= 11
