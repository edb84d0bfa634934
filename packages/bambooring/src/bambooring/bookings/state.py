"""Keep the claims, as control replicas do."""

import collections.abc
import heapq
import typing

from bambooring.bookings import const
from bambooring.bookings import messages

Key = tuple[str, str, str]


class Claims:
    """Hold every claim until its retention ends."""

    def __init__(self) -> None:
        self._claims: dict[Key, messages.ClaimState] = {}
        self._expiries: list[tuple[float, Key]] = []

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, claim: messages.Claim, now: float) -> messages.ClaimAnswer:
        """Grant a claim, or say why not.

        :param claim: the claim
        :param now: the log's time in seconds since the epoch
        :returns: the answer; the same when the same claim comes again
        """
        self._expire(now)
        key = (claim.account, claim.service, claim.key)
        known = self._claims.get(key)
        if known is not None:
            answer = _answer_known(known, claim)
            if answer is not None:
                return answer
        elif len(self._claims) >= const.CLAIMS_LIMIT:
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
        self._put(state)
        return messages.ClaimAnswer(outcome=messages.ClaimOutcome.GRANTED)

    def settle(self, settle: messages.Settle, now: float) -> messages.Done:
        """Record a response for the claim's owner.

        :param settle: the response
        :param now: the log's time in seconds since the epoch
        :returns: whether it is recorded
        """
        state = self._find_owned(settle)
        if state is None or state.phase is messages.ClaimPhase.RELEASED:
            return messages.Done(is_done=False)
        if state.phase is messages.ClaimPhase.CLAIMED:
            state.phase = messages.ClaimPhase.SETTLED
            state.status = settle.status
            state.headers = settle.headers
            state.body = settle.body
            state.is_body_kept = settle.is_body_kept
            state.until = now + const.RETENTION_S
            self._put(state)
        return messages.Done(is_done=True)

    def release(self, release: messages.Release, now: float) -> messages.Done:
        """Give up a claim; a late copy of it is not granted again.

        :param release: the claim
        :param now: the log's time in seconds since the epoch
        :returns: whether it is given up
        """
        state = self._find_owned(release)
        if state is None:
            return messages.Done(is_done=False)
        if state.phase is messages.ClaimPhase.CLAIMED:
            state.phase = messages.ClaimPhase.RELEASED
            state.until = now + const.RELEASED_KEPT_S
            self._put(state)
        return messages.Done(
            is_done=state.phase is messages.ClaimPhase.RELEASED
        )

    def _find_owned(
        self, command: messages.Settle | messages.Release
    ) -> messages.ClaimState | None:
        key = (command.account, command.service, command.key)
        state = self._claims.get(key)
        if state is None or state.claim != command.claim:
            return None
        return state

    def _put(self, state: messages.ClaimState) -> None:
        key = (state.account, state.service, state.key)
        self._claims[key] = state
        heapq.heappush(self._expiries, (state.until, key))

    def _expire(self, now: float) -> None:
        """Drop a few claims whose retention has ended."""
        for _ in range(const.EXPIRE_BATCH):
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
        self._put(message)
        return True


def _answer_known(
    known: messages.ClaimState, claim: messages.Claim
) -> messages.ClaimAnswer | None:
    """Answer by the state of the key; None if it is free again."""
    is_own = known.claim == claim.claim
    if known.phase is messages.ClaimPhase.RELEASED:
        if not is_own:
            return None
        return messages.ClaimAnswer(outcome=messages.ClaimOutcome.RELEASED)
    if known.digest != claim.digest:
        return messages.ClaimAnswer(outcome=messages.ClaimOutcome.MISMATCH)
    if known.phase is messages.ClaimPhase.SETTLED:
        return messages.ClaimAnswer(
            outcome=messages.ClaimOutcome.SETTLED,
            status=known.status,
            headers=known.headers,
            body=known.body,
            is_body_kept=known.is_body_kept,
        )
    if is_own:
        return messages.ClaimAnswer(outcome=messages.ClaimOutcome.GRANTED)
    return messages.ClaimAnswer(outcome=messages.ClaimOutcome.HELD)
