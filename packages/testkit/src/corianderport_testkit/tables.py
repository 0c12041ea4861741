"""corianderport_testkit.tables

Formats measurements as text.
"""

import collections.abc
import statistics

__all__ = ['markdown', 'numbers', 'spread']


def numbers(text: object) -> list[int]:
    """Return the numbers of a flag: one number, or several and commas."""
    if isinstance(text, tuple | list):
        return [int(item) for item in text]
    return [int(item) for item in str(text).split(',')]


def spread(values: collections.abc.Sequence[float]) -> str:
    """Return the median with the least and the greatest value."""
    median = statistics.median(values)
    return f'{median:.3g} ({min(values):.3g} to {max(values):.3g})'


def markdown(
    header: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> str:
    """Return a Markdown table."""
    lines = [header, ['---'] * len(header), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)
