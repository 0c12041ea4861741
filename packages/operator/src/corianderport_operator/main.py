"""corianderport_operator.main

The binary ``corianderport``: the operators' tool.
"""

import collections.abc
import os
import sys
import typing

import fire

from corianderport_operator.process import commands
from corianderport_operator.process import live_commands
from corianderport_operator.process import log_commands
from corianderport_tier import errors

__all__ = ['COMMANDS', 'main']

_EXIT_FAULT = 1
_EXIT_USAGE = 2
_EXIT_INTERRUPTED = 130

Command = collections.abc.Callable[..., None]

COMMANDS: dict[str, Command] = {
    'print': commands.print_,
    'check': commands.check,
    'diff': commands.diff,
    'explain': commands.explain,
    'status': live_commands.status,
    'search': live_commands.search,
    'trace': log_commands.trace,
}

# Flags whose values are texts. Fire would turn a query such as ``1`` or a
# file name such as ``None`` into a value of another type.
_TEXTS = (
    '--source', '--output_file', '--old', '--new', '--search', '--hosts',
    '--platform', '--host', '--name', '--query', '--customer', '--request_id',
)  # fmt: skip


def main(arguments: collections.abc.Sequence[str] | None = None) -> None:
    """Run one command; errors of the user are one line each."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    command = given[:1] + [_quoted(argument) for argument in given[1:]]
    try:
        try:
            fire.Fire(COMMANDS, command=command, name='corianderport')
        finally:
            sys.stdout.flush()
    except BrokenPipeError:
        _close_output()
        sys.exit(_EXIT_FAULT)
    except errors.SettingInvalid as error:
        _fail(error, _EXIT_USAGE)
    except errors.CorianderportError as error:
        _fail(error, _EXIT_FAULT)
    except KeyboardInterrupt:
        sys.exit(_EXIT_INTERRUPTED)


def _quoted(argument: str) -> str:
    """Quote a positional argument or the text of a flag for Fire."""
    if not argument.startswith('-'):
        return repr(argument)
    flag, separator, value = argument.partition('=')
    if separator and flag in _TEXTS:
        return f'{flag}={value!r}'
    return argument


def _close_output() -> None:
    """Keep the interpreter from writing to the closed output at its end."""
    null = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, sys.stdout.fileno())
    os.close(null)


def _fail(error: Exception, code: int) -> typing.NoReturn:
    text = ' '.join(str(error).split())
    print(f'corianderport: {text}', file=sys.stderr)
    sys.exit(code)


if __name__ == '__main__':
    main()
