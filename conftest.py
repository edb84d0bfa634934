"""Deselect the tests that KNOWN-RED.txt lists and print their names."""

import logging
import pathlib

import hypothesis
import pytest
import structlog

hypothesis.settings.register_profile('repeatable', derandomize=True)
hypothesis.settings.load_profile('repeatable')
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)

KNOWN_RED_PATH = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def _read_known_red():
    lines = KNOWN_RED_PATH.read_text().splitlines()
    entries = (line for line in lines if line and not line.startswith('#'))
    return {entry.split('|')[0].strip() for entry in entries}


def pytest_collection_modifyitems(config, items):
    """Deselect the listed tests and store their ids for the summary."""
    known_red = _read_known_red()
    deselected = [item for item in items if item.nodeid in known_red]
    items[:] = [item for item in items if item.nodeid not in known_red]
    config.stash[KNOWN_RED_KEY] = [item.nodeid for item in deselected]
    config.hook.pytest_deselected(items=deselected)


KNOWN_RED_KEY: pytest.StashKey[list[str]] = pytest.StashKey()


def pytest_terminal_summary(terminalreporter, config):
    """Print the id of each deselected test."""
    for nodeid in config.stash.get(KNOWN_RED_KEY, []):
        terminalreporter.write_line(f'known red, not run: {nodeid}')
