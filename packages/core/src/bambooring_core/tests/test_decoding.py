"""Test which errors of decoders are contained."""

import functools
from unittest import mock

import prometheus_client
import pytest

from bambooring_core import decoding
from bambooring_core import errors


def _raise(error):
    raise error


def _count_faults():
    return prometheus_client.REGISTRY.get_sample_value(
        'bambooring_decoder_faults_total', {'decoder': 'test'}
    )


def test_unexpected_errors_are_contained_and_logged_once():
    """Each kind of error is logged once, and each occurrence is counted."""
    with mock.patch.object(decoding, 'LOG') as log:
        for error in (KeyError('a'), KeyError('b'), RecursionError()):
            with pytest.raises(errors.DecoderFaultError):
                decoding.contain('test', functools.partial(_raise, error))
    assert len(log.exception.mock_calls) == 2
    assert _count_faults() == 3


@pytest.mark.parametrize(
    'error', [errors.ReportError('a'), MemoryError(), KeyboardInterrupt()]
)
def test_other_errors_pass(error):
    """An error of this product, and what concerns all, isn't contained."""
    with pytest.raises(type(error)) as found:
        decoding.contain('test', lambda: _raise(error))
    assert found.value is error


def test_result_passes():
    """What the decoder returns is returned."""
    assert decoding.contain('test', lambda: 7) == 7
