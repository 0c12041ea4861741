"""corianderport_daemon.process.incarnations

Identifies one run of a host process.
"""

import secrets

from corianderport_tier import clocks

__all__ = ['new_incarnation']

_RANDOM_BYTES = 6


def new_incarnation(clock: clocks.Clock) -> str:
    """Return a unique identifier that sorts by the time of the call."""
    return f'{int(clock.time() * 1e3):012x}.{secrets.token_hex(_RANDOM_BYTES)}'
