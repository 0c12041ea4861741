"""docs/promises.md names tests that exist."""

import pathlib
import re

import pytest

_ROOT = pathlib.Path(__file__).parents[2]
_NAMED = sorted(
    set(
        re.findall(
            r'`(tests/[^`]+)`', (_ROOT / 'docs/promises.md').read_text()
        )
    )
)


@pytest.mark.parametrize('name', _NAMED)
def test_named_test_exists(name: str) -> None:
    """Guards against a proof that was renamed or removed."""
    path, _, test = name.partition('::')
    text = (_ROOT / path).read_text('utf-8')
    assert f'def {test}(' in text or f'{test} = ' in text or not test


def test_each_promise_is_listed() -> None:
    """Guards against a promise that is neither proved nor listed."""
    page = (_ROOT / 'docs/promises.md').read_text()
    rows = [line for line in page.splitlines() if line.startswith('| ')]
    assert len(rows) == 2 + 10
