"""Test that a stalled or lost log reader doesn't block the writer."""

import os
import threading

from bambooring_core import logs

LINE_COUNT = 60_000


def _fill(descriptor):
    """Write to a pipe until its buffer is full."""
    os.set_blocking(descriptor, False)
    try:
        while True:
            os.write(descriptor, b'x' * 4096)
    except BlockingIOError:
        os.set_blocking(descriptor, True)


def test_full_pipe_does_not_block():
    """Excess lines are dropped and counted while the reader stalls."""
    source, sink = os.pipe()
    writer = logs.LineWriter(sink)
    is_done = threading.Event()

    def write_lines():
        for number in range(LINE_COUNT):
            writer.write(f'line {number}')
            if number % 1000 == 0:
                writer.flush()
        is_done.set()

    _fill(sink)
    with writer:
        worker = threading.Thread(target=write_lines, daemon=True)
        worker.start()
        assert is_done.wait(30.0)
        assert writer.dropped_lines > 0
        # The queued lines arrive once the reader reads again.
        received = b''
        while b'line 0\n' not in received:
            received += os.read(source, 65536)
        os.close(source)


def test_lost_reader_raises_no_error():
    """The process continues after the reader has closed its end."""
    source, sink = os.pipe()
    os.close(source)
    with logs.LineWriter(sink) as writer:
        writer.write('not read by anyone')
        writer.flush()
    os.close(sink)
