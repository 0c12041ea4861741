"""corianderport_operator.process.routing_command

The command that checks a routing document of a platform.
"""

import importlib.metadata
import pathlib
import sys

from corianderport_operator.process import output
from corianderport_tier import errors
from corianderport_tier.version import routing_findings

__all__ = ['check_routing']

# The package that translates for a platform offers its check under this
# group, since only that package knows the format of its documents.
_GROUP = 'corianderport.routing_checks'
_EXIT_FAULTS = 1


def check_routing(file: str, json: bool = False) -> None:
    """Check a routing document of the platform before it is written.

    Lists each fault and warning with its place. No key is printed. Exit
    codes: 0 no faults, but possibly warnings; 1 faults; 2 usage error.

    Example: corianderport check-routing op-config.json

    Args:
        file: JSON document as it is written to op/config.
        json: print JSON instead of a table.
    """
    try:
        content = pathlib.Path(file).read_bytes()
    except OSError as error:
        raise errors.SettingInvalid(
            f'file: {file!r} cannot be read ({error.strerror})'
        ) from error
    findings = _load_check()(content)
    faults = sum(not finding.is_warning for finding in findings)
    if json:
        output.print_json({'faults': faults, 'findings': findings})
    else:
        if findings:
            output.print_table(
                ('kind', 'place', 'finding'),
                [
                    (
                        'warning' if finding.is_warning else 'fault',
                        finding.place,
                        finding.text,
                    )
                    for finding in findings
                ],
            )
        print(f'{faults} faults, {len(findings) - faults} warnings')
    if faults:
        sys.exit(_EXIT_FAULTS)


def _load_check() -> routing_findings.RoutingCheck:
    found = tuple(importlib.metadata.entry_points(group=_GROUP))
    if not found:
        raise errors.SettingInvalid(
            'no package of a platform is installed that checks its documents'
        )
    check: routing_findings.RoutingCheck = found[0].load()
    return check
