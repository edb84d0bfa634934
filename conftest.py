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

KNOWN_RED = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def _read_known_red():
    lines = KNOWN_RED.read_text().splitlines()
    entries = (line for line in lines if line and not line.startswith('#'))
    return {entry.split('|')[0].strip() for entry in entries}


def pytest_collection_modifyitems(config, items):
    """Deselect the listed tests and store their ids for the summary."""
    known = _read_known_red()
    red = [item for item in items if item.nodeid in known]
    items[:] = [item for item in items if item.nodeid not in known]
    config.stash[RED_KEY] = [item.nodeid for item in red]
    config.hook.pytest_deselected(items=red)


RED_KEY: pytest.StashKey[list[str]] = pytest.StashKey()


def pytest_terminal_summary(terminalreporter, config):
    """Print the id of each deselected test."""
    for nodeid in config.stash.get(RED_KEY, []):
        terminalreporter.write_line(f'known red, not run: {nodeid}')
