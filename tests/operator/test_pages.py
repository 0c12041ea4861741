"""The commands on the pages exist."""

import inspect
import pathlib
import shlex

import pytest

from corianderport_operator import main
from corianderport_tier import result_codes

_DOCS = pathlib.Path(__file__).parents[2] / 'docs'
_PAGE = _DOCS / 'operators.md'


def _commands() -> list[str]:
    return [
        line.strip()
        for line in _PAGE.read_text().splitlines()
        if line.startswith('    corianderport ')
    ]


@pytest.mark.parametrize('line', sorted(set(_commands())))
def test_command_on_the_page_can_be_called(line: str) -> None:
    """Guards against a page that describes other commands."""
    _, name, *arguments = shlex.split(line)
    signature = inspect.signature(main.COMMANDS[name])
    flags: dict[str, str] = {}
    given: list[str] = []
    while arguments:
        argument = arguments.pop(0)
        if argument.startswith('--'):
            flags[argument.removeprefix('--')] = arguments.pop(0)
        else:
            given.append(argument)
    signature.bind(*given, **flags)


def test_every_refusal_is_explained() -> None:
    """Guards against a refusal that operators cannot act on."""
    rows = {
        line.split('|')[1].strip()
        for line in _PAGE.read_text().splitlines()
        if line.startswith('| ') and line[2].isupper()
    }
    refusals = {
        code.name for code in result_codes.ResultCode if 100 <= code < 200
    }
    assert rows == refusals


def test_every_command_is_on_the_page() -> None:
    """Guards against a command that a new operator does not meet."""
    names = {line.split()[1] for line in _commands()}
    assert names == set(main.COMMANDS)
