"""corianderport_daemon.process.incarnations

Identifies one run of a host process.
"""

import secrets

from corianderport_tier import clocks

__all__ = ['earliest_incarnation', 'new_incarnation']

_RANDOM_BYTES = 6


def new_incarnation(clock: clocks.Clock) -> str:
    """Return a unique identifier that sorts by the time of the call."""
    random_text = secrets.token_hex(_RANDOM_BYTES)
    return f'{earliest_incarnation(clock.time())}.{random_text}'


def earliest_incarnation(at_s: float) -> str:
    """Return a text that sorts before the identifiers of later starts.

    :param at_s: seconds since the Unix epoch.
    """
    return f'{int(at_s * 1e3):012x}'
