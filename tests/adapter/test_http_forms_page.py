"""docs/http-forms.md and the tests of the forms name the same rows."""

import pathlib
import re
import types

import pytest

from . import test_reply_forms
from . import test_request_forms

_ROOT = pathlib.Path(__file__).parents[2]
_PAGE = _ROOT / 'docs' / 'http-forms.md'
_NAME = re.compile(r'`([^`]+)`')


def _listed(heading: str) -> list[str]:
    """Return the tests that one table names."""
    section = _PAGE.read_text().split(f'## {heading}\n')[1].split('## ')[0]
    rows = [
        line.rsplit('|', 2)[1]
        for line in section.splitlines()
        if line.startswith('| ') and not line.startswith('| ---')
    ]
    assert rows.pop(0).strip() == 'tests'
    assert all('`' in row for row in rows)
    return [name for row in rows for name in _NAME.findall(row)]


@pytest.mark.parametrize(
    ('heading', 'module'),
    [('Requests', test_request_forms), ('Replies', test_reply_forms)],
)
def test_page_names_every_row(heading: str, module: types.ModuleType) -> None:
    """Guards against a page that states what no test shows.

    Each row of a test stands in the table once, and each name in the table
    is that of a row or of a test.
    """
    listed = _listed(heading)
    assert len(set(listed)) == len(listed)
    rows = {*module._SERVED, *module._REFUSED}
    assert not set(module._SERVED) & set(module._REFUSED)
    assert rows - set(listed) == set()
    for name in set(listed) - rows:
        path, _, test = name.rpartition('::')
        source = _ROOT / path if path else pathlib.Path(str(module.__file__))
        assert f'def {test}(' in source.read_text(), name
