"""corianderport_operator.process.commands

Commands that print, check, compare and explain configurations.
"""

import pathlib
import sys

import attrs

from corianderport_operator.process import output
from corianderport_operator.process import sources
from corianderport_operator.version import differences
from corianderport_operator.version import explanation
from corianderport_operator.version import printing
from corianderport_tier import errors
from corianderport_tier.version import checks
from corianderport_tier.version import faults

__all__ = ['check', 'diff', 'explain', 'print_']

_EXIT_FINDINGS = 1


def print_(source: str, output_file: str = '') -> None:
    """Print the document that the platform publishes.

    A configuration with faults is not printed. Exit codes: 0 printed, 1
    faults, 2 usage error.

    Example: corianderport print board.py --output_file board.json

    Args:
        source: Python file with describe(), JSON document or the
            admin_address of a host.
        output_file: file to write; standard output when it is empty.
    """
    config = sources.load(source)
    checks.require_valid(config)
    text = printing.printed(config)
    if not output_file:
        sys.stdout.write(text)
        return
    try:
        pathlib.Path(output_file).write_text(text)
    except OSError as error:
        raise errors.SettingInvalid(
            f'output_file: {output_file!r} cannot be written '
            f'({error.strerror})'
        ) from error


def check(source: str, json: bool = False) -> None:
    """Check a configuration and list its faults and warnings.

    Exit codes: 0 no faults, but possibly warnings; 1 faults, for which
    hosts refuse the configuration; 2 usage error. docs/result-codes.md
    lists all numbers.

    Example: corianderport check board.json

    Args:
        source: Python file with describe(), JSON document or the
            admin_address of a host.
        json: print JSON instead of a table.
    """
    config = sources.load(source)
    findings = checks.check(config)
    has_faults = any(not fault.number.is_warning for fault in findings)
    if json:
        output.print_json(
            {
                'version': config.version,
                'accepted': not has_faults,
                'findings': [_finding_fields(fault) for fault in findings],
            }
        )
    else:
        _print_findings(config.version, findings)
    if has_faults:
        sys.exit(_EXIT_FINDINGS)


def diff(old: str, new: str, json: bool = False) -> None:
    """Describe the changes between two versions and whom they affect.

    Exit codes: 0 no difference, 1 differences, 2 usage error.

    Example: corianderport diff board.json board.py

    Args:
        old: Python file, JSON document or admin_address of a host, which
            stands for the configuration in force there.
        new: the same kinds of source as for old.
        json: print JSON instead of lines.
    """
    changes = differences.compare(sources.load(old), sources.load(new))
    if json:
        output.print_json(changes)
    else:
        output.print_lines(map(str, changes))
        if not changes:
            print('no difference')
    if changes:
        sys.exit(_EXIT_FINDINGS)


def explain(source: str, search: str, json: bool = False) -> None:
    """Explain which services, shards and searchers a search uses.

    Exit codes: 0 every shard has a usable searcher, 1 shards would be
    missing, 2 usage error.

    Example: corianderport explain board.json stock

    Args:
        source: Python file, JSON document or admin_address of a host.
        search: name of the search.
        json: print JSON instead of tables.
    """
    explained = explanation.explain(sources.load(source), search)
    if json:
        output.print_json(explained)
    else:
        _print_explanation(explained)
    if not all(use.usable for use in explained.services):
        sys.exit(_EXIT_FINDINGS)


def _finding_fields(fault: faults.Fault) -> dict[str, str]:
    fields = attrs.asdict(fault)
    return {**fields, 'number': fault.number.value, 'name': fault.number.name}


def _print_findings(version: int, findings: tuple[faults.Fault, ...]) -> None:
    if findings:
        output.print_table(
            ('number', 'place', 'finding'),
            [(f.number.value, f.place, f.text) for f in findings],
        )
    warnings = sum(fault.number.is_warning for fault in findings)
    print(
        f'version {version}: {len(findings) - warnings} faults, '
        f'{warnings} warnings'
    )


def _print_explanation(explained: explanation.Explanation) -> None:
    print(
        f'search {explained.search}: index {explained.index}, snapshot '
        f'{explained.snapshot}, {explained.documents} documents, expected '
        f'coverage {explained.expected_coverage:.1%}'
    )
    output.print_table(
        ('service', 'shards', 'searcher', 'data centre', 'address', 'used'),
        [row for use in explained.services for row in _searcher_rows(use)],
    )
    reasons: dict[str, list[str]] = {}
    for unused in explained.unused:
        reasons.setdefault(unused.why_not, []).append(unused.service)
    output.print_lines(
        f'not asked, because {reason}: {", ".join(services)}'
        for reason, services in reasons.items()
    )


def _searcher_rows(use: explanation.ServiceUse) -> list[tuple[str, ...]]:
    """Return a row for each searcher; only the first lists the shards."""
    rows = [
        (
            searcher.name,
            searcher.data_centre,
            searcher.address,
            f'no: {searcher.why_not}' if searcher.why_not else 'yes',
        )
        for searcher in use.searchers
    ] or [('none', '', '', 'no: the service has no searcher')]
    first, *others = rows
    return [
        (use.service, _shard_ranges(use), *first),
        *(('', '', *row) for row in others),
    ]


def _shard_ranges(use: explanation.ServiceUse) -> str:
    return ', '.join(f'{s.name} {s.begin}-{s.end}' for s in use.shards)
