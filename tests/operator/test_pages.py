"""Tests that the operators' documentation matches the commands."""

import inspect
import pathlib
import shlex

import pytest

from corianderport_operator import main
from corianderport_tier import result_codes

_DOCS = pathlib.Path(__file__).parents[2] / 'docs'
_PAGE = _DOCS / 'operators.md'


def _documented_commands() -> list[str]:
    return [
        line.strip()
        for line in _PAGE.read_text().splitlines()
        if line.startswith('    corianderport ')
    ]


@pytest.mark.parametrize('line', sorted(set(_documented_commands())))
def test_documented_command_can_be_called(line: str) -> None:
    """Guards against documented commands and flags that do not exist.

    A renamed parameter of a command renames its flag, but not the flag in
    the examples of the documentation.
    """
    _, name, *arguments = shlex.split(line)
    signature = inspect.signature(main.COMMANDS[name])
    flags: dict[str, str] = {}
    positional: list[str] = []
    while arguments:
        argument = arguments.pop(0)
        if argument.startswith('--'):
            flags[argument.removeprefix('--')] = arguments.pop(0)
        else:
            positional.append(argument)
    signature.bind(*positional, **flags)


def test_every_refusal_is_explained() -> None:
    """Guards against refusals that the documentation does not explain.

    A result code that is added in the code has no row in the table of
    refusals until someone writes it.
    """
    rows = {
        line.split('|')[1].strip()
        for line in _PAGE.read_text().splitlines()
        if line.startswith('| ') and line[2].isupper()
    }
    refusals = {
        code.name for code in result_codes.ResultCode if 100 <= code < 200
    }
    assert rows == refusals


def test_every_command_is_documented() -> None:
    """Guards against commands without an example in the documentation.

    A new command is available as soon as ``COMMANDS`` lists it, whether
    documented or not.
    """
    names = {line.split()[1] for line in _documented_commands()}
    assert names == set(main.COMMANDS)
