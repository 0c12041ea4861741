"""corianderport_operator.process.output

Prints results as JSON or as tables.
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
_PLAIN_WIDTH = 160

Row = collections.abc.Sequence[object]


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    print(orjson.dumps(_CONVERTER.unstructure(value)).decode(), flush=True)


def print_lines(lines: collections.abc.Iterable[str]) -> None:
    """Print lines as they are."""
    for line in lines:
        print(line, flush=True)


def print_table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[Row],
) -> None:
    """Print a table; long cells are folded, not cut."""
    table = rich.table.Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow='fold')
    for row in rows:
        table.add_row(*(rich.markup.escape(str(cell)) for cell in row))
    width = None if sys.stdout.isatty() else _PLAIN_WIDTH
    rich.console.Console(width=width).print(table)
