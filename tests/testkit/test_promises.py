"""Tests that docs/promises.md names existing tests."""

import pathlib
import re

import pytest

_ROOT = pathlib.Path(__file__).parents[2]
_LISTED_TESTS = sorted(
    set(
        re.findall(
            r'`(tests/[^`]+)`', (_ROOT / 'docs/promises.md').read_text()
        )
    )
)


@pytest.mark.parametrize('name', _LISTED_TESTS)
def test_named_test_exists(name: str) -> None:
    """A test that the page names must exist.

    It may have been renamed or removed without a change of the page.
    """
    path, _, test = name.partition('::')
    text = (_ROOT / path).read_text('utf-8')
    assert f'def {test}(' in text or f'{test} = ' in text or not test


def test_each_promise_is_listed() -> None:
    """The page must have a row for each of the ten promises.

    A promise without one would be neither tested nor listed as untested.
    """
    page = (_ROOT / 'docs/promises.md').read_text()
    rows = [line for line in page.splitlines() if line.startswith('| ')]
    assert len(rows) == 2 + 10
