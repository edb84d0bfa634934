"""Send commands to the leader of the control replicas until answered.

A command may enter the log twice if a reply is lost, so each command
carries an id of its own that makes it idempotent.
"""

import collections.abc
import dataclasses
import random
import typing

from bambooring.replication import messages

RESEND_INTERVAL_S: typing.Final = 0.4


@dataclasses.dataclass(slots=True, kw_only=True)
class SendProposal:
    """Effect: send a proposal to the control replica named ``replica``."""

    replica: str
    message: messages.Propose


@dataclasses.dataclass(slots=True, kw_only=True)
class ProposalResult:
    """Effect: pass on the reply to a proposal, None if none came in time."""

    proposal_id: int
    reply: bytes | None


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingProposal:
    """Proposal without a reply; times in seconds of the local clock.

    ``last_replica`` is the name of the replica that it was last sent to.
    """

    message: messages.Propose
    deadline: float
    resend_at: float
    last_replica: str = ''


Effects = collections.abc.Iterator[SendProposal | ProposalResult]


class Proposer:
    """The unanswered proposals of one process.

    ``reachable`` has the names of the control replicas that are linked;
    the caller adds to it when a link comes up.
    """

    __slots__ = ('_leader_name', '_pending', '_rng', 'reachable')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pending: dict[int, _PendingProposal] = {}
        self._leader_name = ''
        self.reachable: set[str] = set()

    def submit(
        self, command: bytes, now: float, timeout_s: float
    ) -> tuple[int, Effects]:
        """Start to propose a command.

        :param command: the packed command
        :param now: the current time in seconds
        :param timeout_s: how long to wait for a reply, resending meanwhile
        :returns: the id of the proposal and the effects to carry out
        """
        proposal_id = self._rng.getrandbits(63) | 1
        pending = _PendingProposal(
            message=messages.Propose(proposal=proposal_id, command=command),
            deadline=now + timeout_s,
            resend_at=now,
        )
        self._pending[proposal_id] = pending
        return proposal_id, self._send(pending, now)

    def _send(self, pending: _PendingProposal, now: float) -> Effects:
        pending.resend_at = now + RESEND_INTERVAL_S
        replica = self._choose_replica(pending.last_replica)
        if replica:
            pending.last_replica = replica
            yield SendProposal(replica=replica, message=pending.message)

    def _choose_replica(self, last_replica: str) -> str:
        if self._leader_name in self.reachable:
            return self._leader_name
        candidates = sorted(self.reachable - {last_replica}) or sorted(
            self.reachable
        )
        return self._rng.choice(candidates) if candidates else ''

    def handle_reply(
        self, message: messages.Proposed, sender: str, now: float
    ) -> Effects:
        """Handle a replica's reply to a proposal.

        :param message: the reply
        :param sender: the name of the replica
        :param now: the current time in seconds
        :returns: the effects to carry out
        """
        pending = self._pending.get(message.proposal)
        if message.is_accepted:
            self._leader_name = sender
            if pending is not None:
                del self._pending[message.proposal]
                yield ProposalResult(
                    proposal_id=message.proposal, reply=message.reply
                )
            return
        if self._leader_name == sender:
            self._leader_name = ''
        if message.leader in self.reachable - {sender}:
            # A proposal whose leader can't be reached waits to be resent.
            self._leader_name = message.leader
            if pending is not None and pending.last_replica == sender:
                yield from self._send(pending, now)

    def mark_unreachable(self, name: str) -> None:
        """Record that a replica can't be reached at present."""
        self.reachable.discard(name)
        if self._leader_name == name:
            self._leader_name = ''

    def tick(self, now: float) -> Effects:
        """Resend unanswered proposals and give up those past the deadline.

        :param now: the current time in seconds
        :returns: the effects to carry out
        """
        for proposal_id, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[proposal_id]
                yield ProposalResult(proposal_id=proposal_id, reply=None)
            elif now >= pending.resend_at:
                self._leader_name = ''
                yield from self._send(pending, now)
