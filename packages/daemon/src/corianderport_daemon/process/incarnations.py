"""corianderport_daemon.process.incarnations

Names one start of a host.
"""

import secrets

from corianderport_tier import clocks

__all__ = ['new_incarnation']

_RANDOM_BYTES = 6


def new_incarnation(clock: clocks.Clock) -> str:
    """Return random text that sorts by the time of the call."""
    return f'{int(clock.time() * 1e3):012x}.{secrets.token_hex(_RANDOM_BYTES)}'
