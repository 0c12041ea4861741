"""corianderport_operator.main

Entry point of ``corianderport``, the command line tool for operators.
"""

import collections.abc
import os
import sys
import typing

import fire

from corianderport_operator.process import commands
from corianderport_operator.process import links_command
from corianderport_operator.process import live_commands
from corianderport_operator.process import log_commands
from corianderport_operator.process import routing_command
from corianderport_operator.process import where_command
from corianderport_operator.process import workspaces_command
from corianderport_tier import errors

__all__ = ['COMMANDS', 'main']

_EXIT_ERROR = 1
_EXIT_USAGE = 2
_EXIT_INTERRUPTED = 130

Command = collections.abc.Callable[..., None]

COMMANDS: dict[str, Command] = {
    'print': commands.print_,
    'check': commands.check,
    'check-routing': routing_command.check_routing,
    'diff': commands.diff,
    'explain': commands.explain,
    'status': live_commands.status,
    'search': live_commands.search,
    'trace': log_commands.trace,
    'workspaces': workspaces_command.workspaces,
    'links': links_command.links,
}

# Words of a command that is not ``explain`` with a source named ``where``.
_WHERE = ('explain', 'where')

# Commands with several hosts, each given by a flag.
_REPEATED_HOST = (['workspaces'], ['links'])

# Flags with string values. Fire would parse a query such as ``1`` or a file
# name such as ``None`` as a Python literal of another type.
_STRING_FLAGS = (
    '--source', '--output_file', '--old', '--new', '--search', '--hosts',
    '--platform', '--host', '--name', '--query', '--customer', '--request_id',
    '--header', '--file',
)  # fmt: skip


def main(arguments: collections.abc.Sequence[str] | None = None) -> None:
    """Run one command.

    A CorianderportError is reported as one line on standard error, without a
    traceback.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    known = COMMANDS
    if tuple(argv[:2]) == _WHERE:
        known = {'where': where_command.where}
        argv = ['where', *_merge_flags('--header', argv[2:])]
    elif argv[:1] in _REPEATED_HOST:
        argv = _merge_flags('--host', argv)
    command = argv[:1] + [_quote_argument(argument) for argument in argv[1:]]
    try:
        try:
            fire.Fire(known, command=command, name='corianderport')
        finally:
            sys.stdout.flush()
    except BrokenPipeError:
        _discard_output()
        sys.exit(_EXIT_ERROR)
    except errors.SettingInvalid as error:
        _exit_with_error(error, _EXIT_USAGE)
    except errors.CorianderportError as error:
        _exit_with_error(error, _EXIT_ERROR)
    except KeyboardInterrupt:
        sys.exit(_EXIT_INTERRUPTED)


def _merge_flags(flag: str, arguments: list[str]) -> list[str]:
    """Merge all flags of a name into one, whose value has a line for each.

    Fire keeps only the last one of repeated flags.
    """
    merged, values = [], []
    rest = iter(arguments)
    for argument in rest:
        if argument == flag:
            values.append(next(rest, ''))
        elif argument.startswith(f'{flag}='):
            values.append(argument.partition('=')[2])
        else:
            merged.append(argument)
    if values:
        merged.append(f'{flag}=' + '\n'.join(values))
    return merged


def _quote_argument(argument: str) -> str:
    """Quote a positional argument or the value of a string flag for Fire."""
    if not argument.startswith('-'):
        return repr(argument)
    flag, separator, value = argument.partition('=')
    if separator and flag in _STRING_FLAGS:
        return f'{flag}={value!r}'
    return argument


def _discard_output() -> None:
    """Redirect standard output to the null device.

    Otherwise the interpreter would flush it to the closed pipe at exit and
    report another error.
    """
    null_fd = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_fd, sys.stdout.fileno())
    os.close(null_fd)


def _exit_with_error(error: Exception, code: int) -> typing.NoReturn:
    message = ' '.join(str(error).split())
    print(f'corianderport: {message}', file=sys.stderr)
    sys.exit(code)


if __name__ == '__main__':
    main()
