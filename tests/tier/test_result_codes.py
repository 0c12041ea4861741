"""Tests that the table in docs/result-codes.md matches the code."""

import pathlib

from corianderport_tier import result_codes

_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'result-codes.md'


def test_page_lists_every_code() -> None:
    """Guards against documentation that differs from the code.

    A result code is added or changed without its row in the table.
    """
    listed = [
        tuple(cell.strip() for cell in line.split('|')[1:4])
        for line in _PAGE.read_text().splitlines()
        if line.startswith('| ') and line[2].isdigit()
    ]
    expected = [
        (str(int(code)), code.name, code.ran.value)
        for code in result_codes.ResultCode
    ]
    assert listed == expected
