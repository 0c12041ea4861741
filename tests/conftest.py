"""Settings shared by all tests, and the list of known failures."""

import os
import pathlib

import hypothesis
import pytest

_KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=100
)
# Draws other examples; use it with --hypothesis-seed.
hypothesis.settings.register_profile(
    'explore', derandomize=False, deadline=None, database=None
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


def known_red() -> list[str]:
    """Return the test identifiers in KNOWN-RED.txt, first field a line."""
    lines = _KNOWN_RED.read_text().splitlines()
    return [
        line.split('|')[0].strip() for line in lines if line.count('|') >= 3
    ]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs the known failures too."""
    parser.addoption('--with-known-red', action='store_true')


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Pass over exactly the tests that KNOWN-RED.txt lists."""
    if config.getoption('--with-known-red'):
        return
    listed = set(known_red())
    passed_over = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that were passed over."""
    for name in known_red():
        terminalreporter.write_line(f'known red, not run: {name}')
