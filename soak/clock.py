"""Run the real program with a wall clock that can be shifted.

``python -m soak.clock OFFSET_FILE`` is ``python -m bambooring_platform``
with the offset in the file, in seconds, added to the wall clock. The monotonic
clocks are unchanged, as on a machine whose wall clock is adjusted.
"""

import pathlib
import sys
import time

from bambooring_platform import __main__ as platform_main

_READ_INTERVAL_S = 0.1


class OffsetClock:
    """Stand in for :func:`time.time` and add the offset read from a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._get_real_time = time.time
        self._offset_s = 0.0
        self._last_read_s = 0.0

    def __call__(self) -> float:
        now_s = time.monotonic()
        if now_s - self._last_read_s > _READ_INTERVAL_S:
            self._last_read_s = now_s
            self._offset_s = self._read_offset()
        return self._get_real_time() + self._offset_s

    def _read_offset(self) -> float:
        try:
            return float(self._path.read_text())
        except (OSError, ValueError):
            # The file is being written; the next read gets the new offset.
            return self._offset_s


if __name__ == '__main__':
    time.time = OffsetClock(pathlib.Path(sys.argv[1]))
    sys.exit(platform_main.main())
