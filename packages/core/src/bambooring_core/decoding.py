"""Contain faults of decoders.

What comes from outside is decoded by functions that change nothing, so an
error in one that it doesn't declare leaves all state whole: it ends the
request, announcement or message and not the process. An error anywhere else
may have left state half changed, and still ends the process.
"""

import collections.abc
import typing

import structlog

from bambooring_core import errors
from bambooring_core import metrics

LOG = structlog.get_logger(__name__)

T = typing.TypeVar('T')

_MAX_LOGGED_FAULTS: typing.Final = 100

# The decoders and the errors whose tracebacks have been logged.
_logged_faults: set[tuple[str, type[Exception]]] = set()


def contain(name: str, decode: collections.abc.Callable[[], T]) -> T:
    """Call a decoder that changes nothing.

    An error that is none of this product's is counted, and logged with its
    traceback when it first occurs.

    :param name: the decoder's name, for the log and the metrics
    :param decode: the decoder
    :returns: what the decoder returns
    :raises DecoderFaultError: for an error that is none of this product's
    """
    try:
        return decode()
    except (errors.BambooringError, MemoryError):
        raise
    except Exception as error:
        metrics.DECODER_FAULTS.labels(decoder=name).inc()
        fault = (name, type(error))
        if fault not in _logged_faults:
            if len(_logged_faults) < _MAX_LOGGED_FAULTS:
                _logged_faults.add(fault)
            LOG.exception('decoder failed', decoder=name)
        raise errors.DecoderFaultError(f'{name}: {error!r}') from error
