"""Have the allocator return freed memory to the system."""

import ctypes
import typing

import structlog

LOG = structlog.get_logger(__name__)

# Parameters of mallopt() in glibc.
_M_MMAP_THRESHOLD: typing.Final = -3
_M_ARENA_MAX: typing.Final = -8

# Blocks from this size on are mapped one by one and unmapped when freed.
_MAPPED_BLOCK_BYTES: typing.Final = 64 * 1024
_MAX_ARENAS: typing.Final = 2


def limit_retained_memory() -> None:
    """Limit the freed memory that a process with many threads keeps.

    By default glibc has up to 8 arenas a core, and once a mapped block of
    several MB has been freed it takes later ones from the arenas, which keep
    them. Six crowds of 200 callers took an entry instance to 561 MB that way.
    To be called before threads start; no effect with other C libraries.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is None:
        LOG.info('allocator keeps its defaults')
        return
    mallopt(_M_MMAP_THRESHOLD, _MAPPED_BLOCK_BYTES)
    mallopt(_M_ARENA_MAX, _MAX_ARENAS)
