"""corianderport_operator.process.output

Prints results as JSON, plain lines or tables.
"""

import collections.abc
import sys

import cattrs.preconf.orjson
import orjson
import rich.console
import rich.markup
import rich.table

__all__ = ['print_json', 'print_lines', 'print_table']

_CONVERTER = cattrs.preconf.orjson.make_converter()
_NON_TERMINAL_WIDTH = 160

Row = collections.abc.Sequence[object]


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    print(orjson.dumps(_CONVERTER.unstructure(value)).decode(), flush=True)


def print_lines(lines: collections.abc.Iterable[str]) -> None:
    """Print each line and flush it."""
    for line in lines:
        print(line, flush=True)


def print_table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[Row],
) -> None:
    """Print a table whose long cells wrap and are never truncated.

    The width is fixed when standard output is not a terminal.
    """
    table = rich.table.Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow='fold')
    for row in rows:
        table.add_row(*(rich.markup.escape(str(cell)) for cell in row))
    width = None if sys.stdout.isatty() else _NON_TERMINAL_WIDTH
    rich.console.Console(width=width).print(table)
