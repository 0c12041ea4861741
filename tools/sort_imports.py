"""Sorts blocks of imports by full dotted name, as check H306 requires."""

import pathlib
import re
import sys

_IMPORT = re.compile(r'^(?:import (\S+)|from (\S+) import (\S+))( as \S+)?$')


def _sort_key(line: str) -> str:
    match = _IMPORT.match(line)
    assert match is not None
    name = match[1] or f'{match[2]}.{match[3]}'
    return name.lower()


def sort_imports(text: str) -> str:
    """Return the text with each block of imports sorted."""
    lines = text.split('\n')
    start = 0
    while start < len(lines):
        end = start
        while end < len(lines) and _IMPORT.match(lines[end]):
            end += 1
        lines[start:end] = sorted(lines[start:end], key=_sort_key)
        start = end + 1
    return '\n'.join(lines)


def main() -> None:
    """Sort the imports of all Python files below the given directories."""
    for directory in sys.argv[1:]:
        for path in pathlib.Path(directory).rglob('*.py'):
            text = path.read_text()
            sorted_text = sort_imports(text)
            if sorted_text != text:
                path.write_text(sorted_text)


if __name__ == '__main__':
    main()
