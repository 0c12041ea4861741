"""docs/settings.md agrees with the settings in the code."""

import pathlib

import attrs
import pytest

from corianderport_daemon.process import settings
from corianderport_tier import errors

_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'
# The second section is about entry hosts; tests/adapter/test_settings.py
# checks it.
_SECTION = _PAGE.read_text().partition('\n## ')[0]
_NEEDED = {
    'host': 'h',
    'data_centre': 'dc-a',
    'platform': '127.0.0.1:1',
    'shared_keys': 'first key,second key',
}


@attrs.frozen
class _Row:
    name: str
    unit: str
    default: str
    allowed: str
    meaning: str


def _rows() -> list[_Row]:
    return [
        _Row(*(cell.strip().strip('`') for cell in line.split('|')[1:6]))
        for line in _SECTION.splitlines()
        if line.startswith('| `')
    ]


def _accepts(name: str, value: object) -> bool:
    try:
        settings.load({**_NEEDED, name: value}, {})
    except errors.SettingInvalid as error:
        assert str(error).startswith(f'{name}: ')
        return False
    return True


def test_page_lists_every_setting_with_its_default() -> None:
    """Guards against undocumented settings and wrong defaults."""
    rows = _rows()
    assert tuple(row.name for row in rows) == settings.names()
    loaded = settings.load(_NEEDED, {})
    for row in rows:
        if row.name in _NEEDED:
            assert row.default == 'none'
        else:
            assert row.default == str(getattr(loaded, row.name)), row.name


@pytest.mark.parametrize('row', _rows(), ids=lambda row: row.name)
def test_ranges_on_the_page_match_the_code(row: _Row) -> None:
    """Guards against ranges that differ between page and code."""
    if row.allowed.startswith('one of '):
        for value in row.allowed.removeprefix('one of ').split(', '):
            assert _accepts(row.name, value)
        assert not _accepts(row.name, 'other')
    elif row.allowed == 'IP number and port':
        assert _accepts(row.name, '127.0.0.1:65535')
        assert not _accepts(row.name, 'localhost:80')
        assert not _accepts(row.name, '127.0.0.1:65536')
    elif row.allowed == 'one or two keys of at least 8 bytes':
        assert _accepts(row.name, 'x' * 8)
        assert _accepts(row.name, 'first key,second key')
        assert not _accepts(row.name, 'x' * 7)
        assert not _accepts(row.name, 'first key,second key,third key')
    elif row.allowed == '1 to 200 characters':
        assert _accepts(row.name, 'x' * 200)
        assert not _accepts(row.name, 'x' * 201)
        assert not _accepts(row.name, '')
    else:
        least, most = map(float, row.allowed.split(' to '))
        assert _accepts(row.name, least)
        assert _accepts(row.name, most)
        assert not _accepts(row.name, least - 0.01 * max(least, 1))
        assert not _accepts(row.name, most * 1.01)


def test_page_matches_the_help() -> None:
    """Guards against descriptions that differ between page and code."""
    described = {
        field.name: field.metadata for field in attrs.fields(settings.Settings)
    }
    for row in _rows():
        assert row.meaning in str(described[row.name])
