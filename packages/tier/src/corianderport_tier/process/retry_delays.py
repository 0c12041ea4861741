"""corianderport_tier.process.retry_delays

When the searchers of a service can be sent requests again.
"""

import collections.abc
import random

from corianderport_tier.process import searcher_state

__all__ = ['available_at_s', 'retry_delay_s']

# Suggested retry delay when no searcher is registered that may be used.
_DEFAULT_RETRY_DELAY_S = 1.0
# Maximum extra delay of a caller's retry after a pause, as a fraction of the
# pause, so that refused callers do not return at the same moment.
_PAUSE_SPREAD = 0.5

States = collections.abc.Collection[searcher_state.SearcherState]


def available_at_s(states: States) -> float | None:
    """Return when the first searcher ends its backoff or its pause.

    :return: None if there is no searcher to wait for.
    """
    return min(
        (s.available_at_s for s in states if not s.availability.leaving),
        default=None,
    )


def retry_delay_s(states: States, now_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should return.

    It is the time until the first backoff or pause of a searcher ends; the
    time after a pause differs between callers.
    """
    first_s = available_at_s(states)
    if first_s is None:
        return _DEFAULT_RETRY_DELAY_S
    delay_s = max(0.0, first_s - now_s)
    if any(s.availability.paused_until_s > now_s for s in states):
        delay_s *= rng.uniform(1.0, 1.0 + _PAUSE_SPREAD)
    return delay_s
