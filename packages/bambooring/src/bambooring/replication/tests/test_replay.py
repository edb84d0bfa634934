"""Test that the state machine comes to the same state from the same log."""

from bambooring.bookings import const as bookings_const
from bambooring.bookings import messages as bookings
from bambooring.replication import messages
from bambooring import state_machine as state_machine_module
from bambooring_core import codec


def _make_claim(key, at_s):
    claim = bookings.Claim(
        account='a', service='s', key=key, digest=b'd', claim=1
    )
    return codec.pack(messages.Stamped(at_s=at_s, command=codec.pack(claim)))


# A replica that read its disk again disagreed with the others on claims.
def test_log_is_replayed_with_its_own_times():
    """The time that the state had before is gone with the state."""
    state_machine = state_machine_module.ControlStateMachine()
    log = [
        _make_claim('k1', 100.0),
        _make_claim('k2', 200.0 + bookings_const.RETENTION_S),
    ]
    for command in log:
        state_machine.apply(command)
    saved = state_machine.save()
    state_machine.restore(b'')
    for command in log:
        state_machine.apply(command)
    assert state_machine.save() == saved
