"""corianderport_testkit.tables

Formats measurements as Markdown tables.
"""

import collections.abc
import statistics

__all__ = ['format_markdown', 'format_median_and_range', 'parse_integers']


def parse_integers(text: object) -> list[int]:
    """Return the integers of a flag that Fire may have split at commas."""
    if isinstance(text, tuple | list):
        return [int(item) for item in text]
    return [int(item) for item in str(text).split(',')]


def format_median_and_range(values: collections.abc.Sequence[float]) -> str:
    """Return the median, followed by the minimum and the maximum."""
    median = statistics.median(values)
    return f'{median:.3g} ({min(values):.3g} to {max(values):.3g})'


def format_markdown(
    header: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> str:
    """Return the header and rows as a Markdown table."""
    lines = [header, ['---'] * len(header), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)
