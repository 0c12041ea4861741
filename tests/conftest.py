"""Pytest and Hypothesis settings, and the handling of known failures."""

import os
import pathlib

import hypothesis
import pytest

_KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=100
)
# Draws new examples in each run; reproduce one with --hypothesis-seed.
hypothesis.settings.register_profile(
    'explore', derandomize=False, deadline=None, database=None
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


def known_red() -> list[str]:
    """Return the test identifiers: the first fields in KNOWN-RED.txt."""
    lines = _KNOWN_RED.read_text().splitlines()
    return [
        line.split('|')[0].strip() for line in lines if line.count('|') >= 3
    ]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that also runs the known failures."""
    parser.addoption('--with-known-red', action='store_true')


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the tests listed in KNOWN-RED.txt."""
    if config.getoption('--with-known-red'):
        return
    listed = set(known_red())
    deselected = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that were deselected."""
    for name in known_red():
        terminalreporter.write_line(f'known red, not run: {name}')
