"""Count who gets too few answers, lately and by name."""

from bambooring.forwarding import const
from bambooring.forwarding import fairness as fairness_module


def _note(fairness, name, served, refused, now_s=0.0):
    for number in range(served + refused):
        fairness.note([name], is_served=number < served, now_s=now_s)


def test_nobody_is_underserved_without_refusals():
    """While all are served, order is by priority and age alone."""
    fairness = fairness_module.Fairness()
    _note(fairness, 'a', 9, 0)
    assert not fairness.is_underserved(['a', 'unheard of'])


def test_less_than_the_share():
    """The share of all counts, not the number of answers."""
    fairness = fairness_module.Fairness()
    _note(fairness, 'large', 50, 50)
    _note(fairness, 'small', 5, 5)
    _note(fairness, 'least', 1, 9)
    assert not fairness.is_underserved(['large', 'small'])
    assert fairness.is_underserved(['large', 'least'])


def test_past_is_forgotten():
    """What happened many half-lives ago matters no more."""
    fairness = fairness_module.Fairness()
    _note(fairness, 'a', 0, 20)
    _note(fairness, 'b', 20, 20)
    assert fairness.is_underserved(['a'])
    later_s = 20 * const.FAIRNESS_HALF_LIFE_S
    _note(fairness, 'b', 1, 1, later_s)
    _note(fairness, 'a', 1, 0, later_s)
    assert not fairness.is_underserved(['a'])


def test_names_are_bounded(monkeypatch):
    """Names that nothing was heard of for long take no memory."""
    monkeypatch.setattr(const, 'FAIRNESS_MAX_KEYS', 10)
    fairness = fairness_module.Fairness()
    for number in range(100):
        now_s = number * const.FAIRNESS_EXPIRY_S / 5
        _note(fairness, str(number), 1, 0, now_s)
    assert len(fairness._counts) <= 11
