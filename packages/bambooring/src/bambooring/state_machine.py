"""Apply the committed log of the control replicas.

The state is the configuration, the claims of bookings, the committed expert
maps, the policy and the evacuated failure domains.
"""

import functools
import struct
import typing

from bambooring.bookings import messages as bookings
from bambooring.bookings import state as bookings_state
from bambooring.configuration import messages as configuration
from bambooring.configuration import state as configuration_state
from bambooring.evacuation import messages as evacuation
from bambooring.evacuation import state as evacuation_state
from bambooring.experts import messages as experts
from bambooring.experts import state as experts_state
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring_core import codec

_SIZE_PREFIX = struct.Struct('<I')


class ControlStateMachine:
    """State that every control replica computes from the same log.

    Its time is the highest that a leader has stamped on a command, so that
    it never goes backwards and is the same on every replica.
    """

    def __init__(self) -> None:
        self.records = configuration_state.RecordStore()
        self.claims = bookings_state.ClaimStore()
        self.switches = experts_state.SwitchStore()
        self.policy = policy_state.PolicyStore()
        self.evacuation = evacuation_state.EvacuationStore()
        self._time = 0.0

    def apply(self, command: bytes) -> bytes:
        """Apply a command of the log.

        :param command: the packed command with the leader's time
        :returns: the packed reply
        """
        stamped_command = codec.unpack(command)
        self._time = max(self._time, stamped_command.at_s)
        reply = _apply(codec.unpack(stamped_command.command), self, self._time)
        return codec.pack(reply)

    def save(self) -> bytes:
        """Return the whole state as packed messages with their sizes."""
        packed_clock = codec.pack(bookings.Clock(now=self._time))
        packed_parts = [_SIZE_PREFIX.pack(len(packed_clock)), packed_clock]
        for component in (
            self.records,
            self.claims,
            self.switches,
            self.policy,
            self.evacuation,
        ):
            for message in component.save():
                data = codec.pack(message)
                packed_parts += (_SIZE_PREFIX.pack(len(data)), data)
        return b''.join(packed_parts)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        :param data: what :meth:`save` returned
        """
        self.records = configuration_state.RecordStore()
        self.claims = bookings_state.ClaimStore()
        self.switches = experts_state.SwitchStore()
        self.policy = policy_state.PolicyStore()
        self.evacuation = evacuation_state.EvacuationStore()
        self._time = 0.0
        offset = 0
        while offset < len(data):
            (size,) = _SIZE_PREFIX.unpack_from(data, offset)
            start = offset + _SIZE_PREFIX.size
            offset = start + size
            self._restore_message(codec.unpack(data[start:offset]))

    def _restore_message(self, message: typing.Any) -> None:
        if isinstance(message, bookings.Clock):
            self._time = message.now
            return
        for component in (
            self.records,
            self.claims,
            self.switches,
            self.policy,
            self.evacuation,
        ):
            if component.restore(message):
                return


@functools.singledispatch
def _apply(
    command: typing.Any, state_machine: ControlStateMachine, now: float
) -> typing.Any:
    raise TypeError(f'not a command: {type(command).__name__}')


@_apply.register
def _apply_change(
    command: configuration.Change,
    state_machine: ControlStateMachine,
    now: float,
) -> configuration.ChangeAnswer:
    return state_machine.records.apply(command)


@_apply.register
def _apply_claim(
    command: bookings.Claim, state_machine: ControlStateMachine, now: float
) -> bookings.ClaimAnswer:
    return state_machine.claims.claim(command, now)


@_apply.register
def _apply_settle(
    command: bookings.Settle, state_machine: ControlStateMachine, now: float
) -> bookings.Done:
    return state_machine.claims.settle(command, now)


@_apply.register
def _apply_release(
    command: bookings.Release, state_machine: ControlStateMachine, now: float
) -> bookings.Done:
    return state_machine.claims.release(command, now)


@_apply.register
def _apply_decide(
    command: experts.Decide, state_machine: ControlStateMachine, now: float
) -> experts.Decided:
    return state_machine.switches.decide(command)


@_apply.register
def _apply_publish(
    command: policy.Publish, state_machine: ControlStateMachine, now: float
) -> policy.Published:
    return state_machine.policy.publish(command)


@_apply.register
def _apply_consult(
    command: policy.Consult, state_machine: ControlStateMachine, now: float
) -> policy.Document:
    document = state_machine.policy.read_newest(command)
    document.evacuation_revision = (
        state_machine.evacuation.evacuations.revision
    )
    return document


@_apply.register
def _apply_evacuation_order(
    command: evacuation.Order, state_machine: ControlStateMachine, now: float
) -> evacuation.Ordered:
    return state_machine.evacuation.apply(command)
