"""Test that expert maps and counts survive compression at any size.

Pattern: a group of 129 ranks and 16 sets of 258 experts gets a map on each
switch, at every rank, and each rank reports its counts all the time.
"""

import hypothesis
from hypothesis import strategies
import pytest

from bambooring_core import errors
from bambooring_core.ranks import messages

RANKS, SETS, EXPERTS, PLACES = 129, 16, 258, 3


@hypothesis.given(strategies.lists(strategies.integers(0, 2**32 - 1)))
def test_counts(counts):
    """Counts of any width are read back."""
    assert messages.unpack_counts(messages.pack_counts(counts)) == counts


@hypothesis.given(
    strategies.integers(1, 4).flatmap(
        lambda ranks: strategies.lists(
            strategies.lists(
                strategies.lists(strategies.integers(0, 65535), max_size=4),
                min_size=ranks,
                max_size=ranks,
            ),
            max_size=4,
        )
    )
)
def test_maps(sets):
    """A map of any shape is read back."""
    assert messages.unpack_map(messages.pack_map(sets)) == sets


@hypothesis.given(strategies.binary(max_size=100))
def test_arbitrary_bytes(data):
    """No bytes lead to anything but a frame error."""
    for unpack in (messages.unpack_map, messages.unpack_counts):
        try:
            unpack(data)
        except errors.FrameError:
            pass


def test_cut_map_is_refused():
    """A map with a part missing is never taken for a smaller one."""
    whole = messages.zlib.decompress(messages.pack_map([[[1, 2], [3]]]))
    for size in range(0, len(whole), 2):
        with pytest.raises(errors.FrameError):
            messages.unpack_map(messages.zlib.compress(whole[:size]))


def test_size_of_a_large_map():
    """A large map takes two bytes an expert and place at most."""
    sets = [
        [
            [(rank * 7 + place * 131 + index) % EXPERTS for place in range(3)]
            for rank in range(RANKS)
        ]
        for index in range(SETS)
    ]
    assert len(messages.pack_map(sets)) <= 2 * RANKS * SETS * PLACES
