"""Provide the clocks of code that must not read the system time directly.

Tests replace them by a :class:`ManualClock`.
"""

import time
import typing


class Clock(typing.Protocol):
    """A clock that counts seconds from an arbitrary start."""

    def now(self) -> float:
        """Return the current time in seconds."""


class MonotonicClock:
    """The machine's monotonic clock."""

    __slots__ = ()

    def now(self) -> float:
        """Return the current time in seconds."""
        return time.monotonic()


class BootClock:
    """A monotonic clock that also advances while the machine is suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return the current time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that a test advances explicitly."""

    __slots__ = ('_now',)

    def __init__(self, now: float = 0.0) -> None:
        self._now = now

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by a number of seconds."""
        self._now += seconds
