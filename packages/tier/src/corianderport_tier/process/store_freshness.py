"""corianderport_tier.process.store_freshness

Age of what this host knows of the platform's store.

A key that is taken away must stop working on every host in time, also on a
host that no longer reaches the store. A host whose knowledge is too old
therefore accepts no keys.
"""

import collections.abc
import math
import threading

from corianderport_tier import clocks
from corianderport_tier.process import decision_log

__all__ = ['MARGIN_S', 'StoreFreshness']

# Keys are refused this much before the time within which a key that was taken
# away must stop working. While the store drops history, it may report a
# change up to this time late.
MARGIN_S = 0.5
# A lost call to the store is abandoned after its watch and one second more.
# The age has to stay below its limit during a watch, a lost call and a new
# one, with a reserve for connecting and for a host short of processor time.
_LOST_CALL_S = 1.5
# A watch shorter than this would be a poll.
_MIN_WATCH_S = 0.25
# Age of a relayed reply, as a fraction of the greatest age, above which the
# next reply of the same host could come too late. A reader that reaches the
# store replies with an age of up to 2.4 s: two watches and the time during
# which it collects changes.
_MAX_RELAYED_FRACTION = 0.65


class StoreFreshness:
    """Tracks when this host's knowledge was last certainly current.

    Only the task that reads the store records; any task may read.

    :param is_needed: returns whether any request needs a key.
    :param revoke_s: time within which a key that was taken away must stop
        working, in seconds; None if no age is checked.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        is_needed: collections.abc.Callable[[], bool],
        revoke_s: float | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._is_needed = is_needed
        self._max_age_s = math.inf
        self._as_of_s = -math.inf
        self._lock = threading.Lock()
        self._refuses = False
        self.set_revoke_s(revoke_s)

    def set_revoke_s(self, revoke_s: float | None) -> None:
        """Set the time within which keys must stop working."""
        self._max_age_s = math.inf if revoke_s is None else revoke_s - MARGIN_S

    @property
    def age_s(self) -> float:
        """Seconds since the knowledge was certainly current.

        Infinite before the first reply that proves it.
        """
        return self._clock.boottime() - self._as_of_s

    @property
    def fresh(self) -> bool:
        """Whether keys may be accepted; always True without a limit."""
        return self._max_age_s == math.inf or self.age_s < self._max_age_s

    @property
    def refuses_keys(self) -> bool:
        """Whether requests with a key are refused at present."""
        return not self.fresh and self._is_needed()

    @property
    def longest_watch_s(self) -> float:
        """Longest watch that keeps the age below its limit.

        The reply to a watch proves only that the knowledge was current when
        the watch began, so that the age grows to twice its length.
        """
        if self._max_age_s == math.inf:
            return math.inf
        return max(_MIN_WATCH_S, (self._max_age_s - _LOST_CALL_S) / 2)

    def relay_suffices(self, as_of_s: float | None) -> bool:
        """Whether a relayed reply is recent enough to go on without the store.

        :param as_of_s: when the relayed knowledge was certainly current;
            None if the reply does not say.
        """
        if self._max_age_s == math.inf:
            return True
        if as_of_s is None:
            return False
        age_s = self._clock.boottime() - as_of_s
        return age_s < _MAX_RELAYED_FRACTION * self._max_age_s

    def record(self, as_of_s: float | None) -> None:
        """Record that all changes up to a time have been applied.

        :param as_of_s: a time of ``Clock.boottime``; None if the reply
            proves nothing about its age.
        """
        if self._as_of_s > -math.inf:
            # No other task may have noticed that the age was too great.
            self.observe()
        if as_of_s is not None:
            self._as_of_s = max(self._as_of_s, as_of_s)
        self.observe()

    def observe(self) -> None:
        """Log and count a change between accepting and refusing keys."""
        with self._lock:
            refuses = self.refuses_keys
            if refuses == self._refuses:
                return
            self._refuses = refuses
            age_s = self.age_s
        kind = 'keys-refused' if refuses else 'keys-accepted'
        reason = (
            'the knowledge of the store is too old to confirm a key'
            if refuses
            else 'the knowledge of the store is current again'
        )
        age_ms = None if age_s == math.inf else round(age_s * 1e3)
        self._log.record(
            decision_log.Decision(
                kind, '', 'keys', reason, inputs={'age_ms': age_ms}
            )
        )
