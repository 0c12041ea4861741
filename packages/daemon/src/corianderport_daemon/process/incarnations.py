"""corianderport_daemon.process.incarnations

Identifies one run of a host process.
"""

import secrets

from corianderport_tier import clocks

__all__ = ['new_incarnation', 'started_s']

_RANDOM_BYTES = 6


def new_incarnation(clock: clocks.Clock) -> str:
    """Return a unique identifier that sorts by the time of the call."""
    random_text = secrets.token_hex(_RANDOM_BYTES)
    return f'{int(clock.time() * 1e3):012x}.{random_text}'


def started_s(incarnation: str) -> float:
    """Return the time of a start, in seconds since the Unix epoch.

    An identifier of unknown form counts as that of an early start.
    """
    try:
        return int(incarnation.partition('.')[0], 16) / 1e3
    except ValueError:
        return 0.0
