"""Test when bookings are granted, held, settled and released."""

from bambooring.bookings import messages
from bambooring.bookings import state


def _make_claim(claim, digest=b'd', account='a'):
    return messages.Claim(
        account=account, service='s', key='k', digest=digest, claim=claim
    )


def _get_outcome(claims, *arguments, **fields):
    return claims.claim(_make_claim(*arguments, **fields), 1.0).outcome


def test_claim_is_held_settled_and_repeated():
    """A key is granted once; later claims get the recorded response."""
    claims = state.ClaimStore()
    outcome = messages.ClaimOutcome
    assert _get_outcome(claims, 1) is outcome.GRANTED
    assert _get_outcome(claims, 1) is outcome.GRANTED
    assert _get_outcome(claims, 2) is outcome.HELD
    assert _get_outcome(claims, 2, b'other') is outcome.MISMATCH
    settle = messages.Settle(
        account='a',
        service='s',
        key='k',
        claim=1,
        status=201,
        headers=[],
        body=b'booked',
    )
    assert claims.settle(settle, 2.0).is_done
    answer = claims.claim(_make_claim(3), 3.0)
    assert answer.outcome is outcome.SETTLED
    assert answer.body == b'booked'


def test_late_copy_of_released_claim_is_not_granted():
    """A late copy of a released claim must not block its key again."""
    claims = state.ClaimStore()
    claims.claim(_make_claim(1), 1.0)
    release = messages.Release(account='a', service='s', key='k', claim=1)
    assert claims.release(release, 2.0).is_done
    assert _get_outcome(claims, 1) is messages.ClaimOutcome.RELEASED
    assert _get_outcome(claims, 2) is messages.ClaimOutcome.GRANTED


def test_accounts_have_separate_keys():
    """The same key of another account is for another booking."""
    claims = state.ClaimStore()
    claims.claim(_make_claim(1), 1.0)
    assert (
        _get_outcome(claims, 2, account='b') is messages.ClaimOutcome.GRANTED
    )
