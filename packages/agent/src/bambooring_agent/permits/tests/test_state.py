"""Keep the grants of an agent under its target's limit."""

import hypothesis
from hypothesis import strategies

from bambooring_agent.permits import const
from bambooring_agent.permits import state
from bambooring_core.permits import const as permits_const
from bambooring_core.permits import messages

LIMIT = 39
OPEN_S = permits_const.GRANT_WINDOW_S


def _make_request(sequence=1, sender='10.1.0.1:7002', **changes):
    values = {
        'sender': sender,
        'incarnation': 7,
        'sequence': sequence,
        'target_id': 't',
        'born_ms': 1,
        'limit_per_s': LIMIT,
        'wanted': 4,
    } | changes
    return messages.PermitRequest(**values)


def _take(ledger, request, now_s):
    grant = ledger.handle(request, now_s)
    return grant.count if grant else None


def _get_refusal_wait_ms(ledger, now_s):
    """Return for how long a refused instance is told to wait."""
    grant = ledger.handle(_make_request(), now_s)
    assert grant is not None
    assert not grant.count
    return grant.wait_ms


def _take_all(ledger, now_s, **changes):
    """Return how many permits several instances get at one moment."""
    return sum(
        _take(ledger, _make_request(sender=f'{now_s}-{i}', **changes), now_s)
        for i in range(LIMIT)
    )


def test_restarted_agent_waits():
    """Permits of an agent that was killed count with those of the next."""
    ledger = state.PermitLedger(100.0)
    assert _get_refusal_wait_ms(ledger, 100.5) == 850
    assert _take(ledger, _make_request(2), 100.0 + OPEN_S) == 4


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.4), strategies.integers(0, 9)
        ),
        max_size=120,
    ),
    strategies.integers(0, 60),
)
def test_window_never_exceeds_the_limit(steps, limit):
    """Bursts at any distances from each other, of any size."""
    ledger, now_s, grants = state.PermitLedger(0.0), OPEN_S, []
    for sequence, (delay_s, wanted) in enumerate(steps, 1):
        now_s += delay_s
        request = _make_request(sequence, wanted=wanted, limit_per_s=limit)
        grants.append((now_s, _take(ledger, request, now_s)))
    for end_s, _ in grants:
        since_s = end_s - permits_const.GRANT_WINDOW_S
        in_window = [
            count for at_s, count in grants if since_s <= at_s <= end_s
        ]
        assert sum(in_window) <= limit


def test_repeated_and_late_requests_get_nothing():
    """A datagram that arrives twice or out of order wastes permits."""
    ledger = state.PermitLedger(0.0)
    assert _take(ledger, _make_request(5), OPEN_S) == 4
    assert _take(ledger, _make_request(5), OPEN_S + 0.3) is None
    assert _take(ledger, _make_request(4), OPEN_S + 0.3) is None
    assert _take(ledger, _make_request(6), OPEN_S + 0.3) == 4


def test_sender_whose_clock_was_set_back():
    """A run with a lower number than its predecessor is ignored briefly."""
    ledger = state.PermitLedger(0.0)
    ledger.handle(_make_request(900), OPEN_S)
    earlier = _make_request(1, incarnation=3)
    assert _take(ledger, earlier, OPEN_S + 1.0) is None
    heard_s = OPEN_S + const.SENDER_RETENTION_S + 0.1
    assert _take(ledger, earlier, heard_s) == 4


def test_runs_and_targets_at_one_address_share_the_limit():
    """A target that restarts in the slot begins no new count."""
    ledger = state.PermitLedger(0.0)
    first = _take_all(ledger, OPEN_S, limit_per_s=10)
    other = {'target_id': 'u', 'born_ms': 2, 'limit_per_s': 10}
    rest = sum(
        _take_all(ledger, OPEN_S + 0.21 * i, **other) for i in range(1, 6)
    )
    assert first + rest == 10


def test_instances_of_a_crest_are_granted_a_burst_only():
    """72 instances at once must not fill a target of five slots for 1 s."""
    ledger = state.PermitLedger(0.0)
    assert _take_all(ledger, OPEN_S) == 8
    assert _get_refusal_wait_ms(ledger, OPEN_S + 0.05) == 150


def test_lower_limit_of_a_later_request():
    """A policy lowers the limit, and names 0 in the end."""
    ledger = state.PermitLedger(0.0)
    assert _take_all(ledger, OPEN_S) == 8
    for limit in (5, 1, 0):
        now_s = OPEN_S + 0.5 - limit / 100
        assert not _take_all(ledger, now_s, limit_per_s=limit)


def test_memory_is_bounded():
    """Ever new senders, and a limit of any size."""
    ledger = state.PermitLedger(0.0)
    for i in range(3 * const.MAX_SENDERS):
        request = _make_request(sender=str(i), limit_per_s=2**32 - 1)
        ledger.handle(request, OPEN_S)
    assert len(ledger._senders) == const.MAX_SENDERS
    assert len(ledger._grants) <= permits_const.MAX_LIMIT
