"""Send large bodies to one target, which holds them.

Pattern: callers send bodies of legal size that together exceed what a target
can hold. The sizes are scaled down.
"""

import contextlib

from bambooring.forwarding.tests import harness as harness_module
from bambooring_core.http1 import const as http1_const

LARGE = b'x' * 8000
SMALL = b'x' * 500


def test_large_body_waits_for_others_at_its_target(monkeypatch):
    """A target crashed of the bodies that it held; small ones pass them."""
    monkeypatch.setattr(http1_const, 'SMALL_BODY_BYTES', 1000)
    with contextlib.ExitStack() as stack:
        harness = harness_module.Harness(stack, harness_module.hang)
        harness.balancer.bodies.limit_bytes = 10_000
        (target,) = harness.targets
        first = harness.send_request(b'/book/1', body=LARGE, attempt_id=b'1')
        harness.turn_until(lambda: len(target.runs) == 1)
        second = harness.send_request(b'/book/1', body=LARGE, attempt_id=b'2')
        harness.turn_until(lambda: harness.forwarder.pending_count == 2)
        third = harness.send_request(b'/book/1', body=SMALL, attempt_id=b'3')
        harness.turn_until(lambda: len(target.runs) == 2)
        assert target.runs == [b'1', b'3']
        first.close()
        harness.turn_until(lambda: len(target.runs) == 3)
        assert target.runs == [b'1', b'3', b'2']
        second.close()
        third.close()
