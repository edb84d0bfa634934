"""Test the account of request bodies that threads read."""

import contextlib
import socket

import pytest

from bambooring_core import errors
from bambooring_core.http1 import const
from bambooring_core.http1 import memory
from bambooring_core import uploads as uploads_module

LARGE_BYTES = 4 * const.SMALL_BODY_BYTES


@pytest.fixture(name='opened')
def _opened():
    """Yield accounts for bodies, and a way to open one of them.

    The budget has room for one large body and its copy, not for two.
    """
    budget = memory.MemoryBudget(4 * LARGE_BYTES)
    uploads = uploads_module.Uploads(budget)
    with contextlib.ExitStack() as stack:

        def open_upload():
            ours, theirs = socket.socketpair()
            stack.enter_context(ours)
            stack.enter_context(theirs)
            return stack.enter_context(uploads.open(ours)), ours

        yield uploads, budget, open_upload


def test_large_body_without_room_is_refused(opened):
    """Large bodies arrive at the same time; the second one isn't read."""
    uploads, budget, open_upload = opened
    uploads.begin_read(open_upload()[0], LARGE_BYTES)
    used_bytes = budget.used_bytes
    second, _ = open_upload()
    with pytest.raises(errors.MemoryShortError):
        uploads.begin_read(second, LARGE_BYTES)
    assert second.is_refused
    assert budget.used_bytes == used_bytes


def test_small_body_is_admitted_without_room(opened):
    """A caller with a small body arrives while large ones use the budget."""
    uploads, budget, open_upload = opened
    uploads.begin_read(open_upload()[0], LARGE_BYTES)
    uploads.begin_read(open_upload()[0], const.SMALL_BODY_BYTES)
    assert budget.used_bytes == 2 * (LARGE_BYTES + const.SMALL_BODY_BYTES)


def test_body_in_pieces_is_refused_as_it_grows(opened):
    """Pieces that are small each must not evade the limit on large bodies."""
    uploads, _, open_upload = opened
    uploads.begin_read(open_upload()[0], LARGE_BYTES)
    second, _ = open_upload()
    uploads.begin_read(second, const.SMALL_BODY_BYTES)
    uploads.begin_read(second, const.SMALL_BODY_BYTES)
    with pytest.raises(errors.MemoryShortError):
        uploads.begin_read(second, const.SMALL_BODY_BYTES)


def test_single_body_beyond_the_budget_is_admitted(opened):
    """A budget below the largest legal body must not refuse it when calm."""
    uploads, _, open_upload = opened
    uploads.begin_read(open_upload()[0], 100 * LARGE_BYTES)


def test_stalled_body_gives_way(opened):
    """A caller stops short of its end; its thread must wake up, refused."""
    uploads, budget, open_upload = opened
    stalled, sock = open_upload()
    uploads.begin_read(stalled, LARGE_BYTES)
    stalled.moved_s -= const.STALL_S
    uploads.begin_read(open_upload()[0], LARGE_BYTES)
    assert not sock.recv(1)
    with pytest.raises(errors.MemoryShortError):
        uploads.end_read(stalled)
    assert budget.used_bytes == 2 * LARGE_BYTES


def test_complete_body_does_not_give_way(opened):
    """A request that may run already must not be refused for another one."""
    uploads, _, open_upload = opened
    complete, _ = open_upload()
    uploads.begin_read(complete, LARGE_BYTES)
    uploads.end_read(complete)
    complete.moved_s -= const.STALL_S
    with pytest.raises(errors.MemoryShortError):
        uploads.begin_read(open_upload()[0], LARGE_BYTES)


def test_end_of_a_request_releases_its_memory(opened):
    """The memory of ended requests must not stay reserved."""
    uploads, budget, open_upload = opened
    upload, _ = open_upload()
    with upload:
        uploads.begin_read(upload, LARGE_BYTES)
    assert budget.used_bytes == 0
