"""Keep the claims, as control replicas do."""

import collections.abc
import heapq
import typing

from bambooring.bookings import const
from bambooring.bookings import messages

ClaimKey = tuple[str, str, str]


class ClaimStore:
    """Hold every claim until its retention ends."""

    def __init__(self) -> None:
        self._claims: dict[ClaimKey, messages.ClaimState] = {}
        self._expiries: list[tuple[float, ClaimKey]] = []

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, claim: messages.Claim, now: float) -> messages.ClaimAnswer:
        """Grant a claim, or say why not.

        :param claim: the claim
        :param now: the log's time in seconds since the epoch
        :returns: the answer; the same when the same claim comes again
        """
        self._drop_expired(now)
        key = (claim.account, claim.service, claim.key)
        existing = self._claims.get(key)
        if existing is not None:
            answer = _answer_existing(existing, claim)
            if answer is not None:
                return answer
        elif len(self._claims) >= const.MAX_CLAIMS:
            return messages.ClaimAnswer(outcome=messages.ClaimOutcome.FULL)
        state = messages.ClaimState(
            account=claim.account,
            service=claim.service,
            key=claim.key,
            digest=claim.digest,
            claim=claim.claim,
            phase=messages.ClaimPhase.CLAIMED,
            until=now + const.RETENTION_S,
        )
        self._store_claim(state)
        return messages.ClaimAnswer(outcome=messages.ClaimOutcome.GRANTED)

    def settle(self, settle: messages.Settle, now: float) -> messages.Done:
        """Record a response for the claim's owner.

        :param settle: the response
        :param now: the log's time in seconds since the epoch
        :returns: whether it is recorded
        """
        state = self._find_owned_claim(settle)
        if state is None or state.phase is messages.ClaimPhase.RELEASED:
            return messages.Done(is_done=False)
        if state.phase is messages.ClaimPhase.CLAIMED:
            state.phase = messages.ClaimPhase.SETTLED
            state.status = settle.status
            state.headers = settle.headers
            state.body = settle.body
            state.is_body_kept = settle.is_body_kept
            state.until = now + const.RETENTION_S
            self._store_claim(state)
        return messages.Done(is_done=True)

    def release(self, release: messages.Release, now: float) -> messages.Done:
        """Give up a claim; a late copy of it is not granted again.

        :param release: the claim
        :param now: the log's time in seconds since the epoch
        :returns: whether it is given up
        """
        state = self._find_owned_claim(release)
        if state is None:
            return messages.Done(is_done=False)
        if state.phase is messages.ClaimPhase.CLAIMED:
            state.phase = messages.ClaimPhase.RELEASED
            state.until = now + const.RELEASED_RETENTION_S
            self._store_claim(state)
        return messages.Done(
            is_done=state.phase is messages.ClaimPhase.RELEASED
        )

    def _find_owned_claim(
        self, command: messages.Settle | messages.Release
    ) -> messages.ClaimState | None:
        key = (command.account, command.service, command.key)
        state = self._claims.get(key)
        if state is None or state.claim != command.claim:
            return None
        return state

    def _store_claim(self, state: messages.ClaimState) -> None:
        key = (state.account, state.service, state.key)
        self._claims[key] = state
        heapq.heappush(self._expiries, (state.until, key))

    def _drop_expired(self, now: float) -> None:
        """Drop a few claims whose retention has ended."""
        for _ in range(const.MAX_EXPIRED_PER_CLAIM):
            if not self._expiries or self._expiries[0][0] > now:
                return
            _, key = heapq.heappop(self._expiries)
            state = self._claims.get(key)
            if state is not None and state.until <= now:
                del self._claims[key]

    def save(self) -> collections.abc.Iterator[typing.Any]:
        """Yield messages that hold the whole state."""
        yield from self._claims.values()

    def restore(self, message: typing.Any) -> bool:
        """Take back one message that :meth:`save` yielded.

        :param message: the message
        :returns: False if it is not one of these
        """
        if not isinstance(message, messages.ClaimState):
            return False
        self._store_claim(message)
        return True


def _answer_existing(
    existing: messages.ClaimState, claim: messages.Claim
) -> messages.ClaimAnswer | None:
    """Answer by the state of the key; None if it is free again."""
    is_own = existing.claim == claim.claim
    if existing.phase is messages.ClaimPhase.RELEASED:
        if not is_own:
            return None
        return messages.ClaimAnswer(outcome=messages.ClaimOutcome.RELEASED)
    if existing.digest != claim.digest:
        return messages.ClaimAnswer(outcome=messages.ClaimOutcome.MISMATCH)
    if existing.phase is messages.ClaimPhase.SETTLED:
        return messages.ClaimAnswer(
            outcome=messages.ClaimOutcome.SETTLED,
            status=existing.status,
            headers=existing.headers,
            body=existing.body,
            is_body_kept=existing.is_body_kept,
        )
    if is_own:
        return messages.ClaimAnswer(outcome=messages.ClaimOutcome.GRANTED)
    return messages.ClaimAnswer(outcome=messages.ClaimOutcome.HELD)
