"""Apply commands on claims in the control replicas' state machine."""

import collections.abc
import heapq
import typing

from bambooring.bookings import const
from bambooring.bookings import messages

ClaimKey = tuple[str, str, str]


class ClaimStore:
    """Claims of all bookings until their retention ends.

    Times are those of the log, so that every replica comes to the same state.
    """

    def __init__(self) -> None:
        self._claims: dict[ClaimKey, messages.ClaimState] = {}
        self._expiries: list[tuple[float, ClaimKey]] = []

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, claim: messages.Claim, now: float) -> messages.ClaimAnswer:
        """Grant a claim, or return why it is not granted.

        :param claim: the command
        :param now: the log's time in seconds since the epoch
        :returns: the answer; the same if the same command is repeated
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
        """Record the response of the request that owns the claim.

        :param settle: the command with the response
        :param now: the log's time in seconds since the epoch
        :returns: whether the claim is settled
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
        """Release a claim; a late copy of its command is not granted.

        :param release: the command
        :param now: the log's time in seconds since the epoch
        :returns: whether the claim is released
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
        """Remove a bounded number of claims whose retention has ended."""
        for _ in range(const.MAX_EXPIRED_PER_CLAIM):
            if not self._expiries or self._expiries[0][0] > now:
                return
            _, key = heapq.heappop(self._expiries)
            state = self._claims.get(key)
            if state is not None and state.until <= now:
                del self._claims[key]

    def save(self) -> collections.abc.Iterator[typing.Any]:
        """Yield the messages for a snapshot of the whole state."""
        yield from self._claims.values()

    def restore(self, message: typing.Any) -> bool:
        """Restore one message that :meth:`save` yielded.

        :param message: a message of a snapshot
        :returns: False if the message is not of this store
        """
        if not isinstance(message, messages.ClaimState):
            return False
        self._store_claim(message)
        return True


def _answer_existing(
    existing: messages.ClaimState, claim: messages.Claim
) -> messages.ClaimAnswer | None:
    """Return the answer if the key has a claim, None if it was released."""
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
