"""corianderport_operator.main

The binary ``corianderport``: the operators' tool.
"""

import pathlib
import sys

import fire

from corianderport_tier import errors
from corianderport_wire.version import document

__all__ = ['check', 'main']

_EXIT_INVALID = 1


def check(path: str) -> None:
    """Check a configuration document.

    Example: corianderport check configuration.json
    """
    try:
        accepted = document.JsonDocument().decode(
            pathlib.Path(path).read_bytes()
        )
    except (errors.ConfigurationInvalid, OSError) as error:
        print(f'corianderport: {path}: {error}', file=sys.stderr)
        sys.exit(_EXIT_INVALID)
    print(f'version {accepted.version}: no fault')


def main() -> None:
    """Parse the command line."""
    fire.Fire({'check': check})


if __name__ == '__main__':
    main()
