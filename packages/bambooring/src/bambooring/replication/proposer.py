"""Carry commands to whichever control replica leads, until answered.

A command may reach the log twice when an answer is lost, so each command is
idempotent by an id of its own.
"""

import collections.abc
import dataclasses
import random
import typing

from bambooring.replication import messages

RESEND_S: typing.Final = 0.4


@dataclasses.dataclass(slots=True, kw_only=True)
class Ask:
    """Ask for a proposal to be sent to a replica."""

    to: str
    message: messages.Propose


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """Hold the reply to a proposal; None if none came in time."""

    proposal: int
    reply: bytes | None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Pending:
    """Hold a proposal that has no answer yet."""

    message: messages.Propose
    deadline: float
    resend_at: float
    tried: str = ''


Effects = collections.abc.Iterator[Ask | Answer]


class Proposer:
    """Hold the proposals of one process."""

    __slots__ = ('_leader', '_pending', '_rng', 'reachable')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pending: dict[int, _Pending] = {}
        self._leader = ''
        self.reachable: set[str] = set()

    def submit(
        self, command: bytes, now: float, timeout_s: float
    ) -> tuple[int, Effects]:
        """Begin to propose a command.

        :param command: the packed command
        :param now: the current time in seconds
        :param timeout_s: how long to try
        :returns: the proposal's id and the effects
        """
        proposal = self._rng.getrandbits(63) | 1
        pending = _Pending(
            message=messages.Propose(proposal=proposal, command=command),
            deadline=now + timeout_s,
            resend_at=now,
        )
        self._pending[proposal] = pending
        return proposal, self._ask(pending, now)

    def _ask(self, pending: _Pending, now: float) -> Effects:
        pending.resend_at = now + RESEND_S
        to = self._choose(pending.tried)
        if to:
            pending.tried = to
            yield Ask(to=to, message=pending.message)

    def _choose(self, tried: str) -> str:
        if self._leader in self.reachable:
            return self._leader
        others = sorted(self.reachable - {tried}) or sorted(self.reachable)
        return self._rng.choice(others) if others else ''

    def handle(
        self, message: messages.Proposed, sender: str, now: float
    ) -> Effects:
        """Take a replica's answer.

        :param message: the answer
        :param sender: the replica's name
        :param now: the current time in seconds
        :returns: the effects
        """
        pending = self._pending.get(message.proposal)
        if message.is_accepted:
            self._leader = sender
            if pending is not None:
                del self._pending[message.proposal]
                yield Answer(proposal=message.proposal, reply=message.reply)
            return
        if self._leader == sender:
            self._leader = ''
        if message.leader in self.reachable - {sender}:
            # A leader that can't be reached waits for the next resending.
            self._leader = message.leader
            if pending is not None and pending.tried == sender:
                yield from self._ask(pending, now)

    def forget(self, name: str) -> None:
        """Take note that a replica can't be reached now."""
        self.reachable.discard(name)
        if self._leader == name:
            self._leader = ''

    def tick(self, now: float) -> Effects:
        """Send again what has no answer, and give up what is late.

        :param now: the current time in seconds
        :returns: the effects
        """
        for proposal, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[proposal]
                yield Answer(proposal=proposal, reply=None)
            elif now >= pending.resend_at:
                self._leader = ''
                yield from self._ask(pending, now)
