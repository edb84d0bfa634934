"""Test the encoding and the decoding of frames and messages."""

import hypothesis
from hypothesis import strategies
import pytest

from bambooring_core import codec
from bambooring_core import const
from bambooring_core.dispatch import messages as dispatch
from bambooring_core import errors
from bambooring_core import frames

CHUNKS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2**64 - 1),
        strategies.integers(0, 2**40),
        strategies.binary(max_size=200),
    ),
    max_size=8,
)


@hypothesis.given(CHUNKS, strategies.integers(1, 50))
def test_output_is_decoded_from_pieces_of_any_size(chunks, size):
    """Decoded chunks equal the encoded ones, however the bytes are split."""
    output = dispatch.Output()
    for attempt, offset, data in chunks:
        output.add_chunk(attempt, offset, data)
    frame = frames.encode(output)
    reader = frames.FrameReader()
    decoded = [
        message
        for start in range(0, len(frame), size)
        for message in reader.feed(frame[start : start + size])
    ]
    assert len(decoded) == 1
    assert [
        (chunk.attempt, chunk.offset, chunk.data)
        for chunk in decoded[0].get_chunks()
    ] == chunks


@hypothesis.given(strategies.binary(min_size=6, max_size=300))
def test_random_bytes_raise_only_frame_errors(data):
    """Invalid bytes raise no error other than a FrameError."""
    try:
        list(frames.FrameReader(limit_bytes=1000).feed(data))
    except errors.FrameError:
        pass


# A kind that only a later release knows ended the process that read it.
def test_unknown_enumerant_is_a_frame_error():
    """A number that no value of an enumeration has is refused."""
    short, suspect = (
        dispatch.SCHEMA.Start.new_message(lane=lane).to_bytes()
        for lane in ('short', 'suspect')
    )
    (offset,) = (
        index
        for index, (byte, other) in enumerate(zip(short, suspect, strict=True))
        if byte != other
    )
    type_id = 10
    decoded = codec.decode(type_id, suspect)
    assert decoded.lane is dispatch.Lane.SUSPECT
    for number in range(3, 256):
        data = bytearray(suspect)
        data[offset] = number
        with pytest.raises(errors.FrameError):
            codec.decode(type_id, bytes(data))


def test_large_frame_is_refused_before_it_is_read():
    """A frame over the limit is rejected as soon as its header arrives."""
    header = (const.FRAME_LIMIT_BYTES + 1).to_bytes(4, 'little') + b'\1\0'
    with pytest.raises(errors.FrameError):
        list(frames.FrameReader().feed(header))


def test_nested_message_is_not_encoded_as_a_frame():
    """Only a message with a frame type can be encoded as a frame."""
    header = dispatch.Header(name='a', value='b')
    with pytest.raises(ValueError):
        frames.encode(header)
    ended = dispatch.Ended(attempt=1, size=0, outcome=dispatch.Outcome.UNKNOWN)
    assert list(frames.FrameReader().feed(frames.encode(ended))) == [ended]
