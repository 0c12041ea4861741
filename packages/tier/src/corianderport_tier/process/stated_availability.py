"""corianderport_tier.process.stated_availability

What searchers state in their responses about accepting more requests.
"""

import collections.abc

import attrs

from corianderport_tier.version import registrations

__all__ = ['MAX_PAUSE_S', 'AvailabilityRecords', 'StatedAvailability']

# Upper bound of a requested pause, so that one faulty response does not take
# a searcher out of use for good.
MAX_PAUSE_S = 600.0
# Records kept of lifetimes that are not registered at the moment.
_MAX_UNREGISTERED = 256


@attrs.define
class StatedAvailability:
    """What one lifetime of a searcher has stated.

    ``leaving`` is final: only a new lifetime receives requests again.
    """

    leaving: bool = False
    paused_until_s: float = float('-inf')

    def permits_request(self, now_s: float) -> bool:
        """Whether the searcher accepts requests from this host."""
        return not self.leaving and self.paused_until_s <= now_s

    def record(self, leaving: bool, pause_s: float, now_s: float) -> None:
        """Record the statements of one response.

        :param pause_s: time for which the searcher wants no requests, in
            seconds; it never shortens an earlier pause.
        """
        self.leaving = self.leaving or leaving
        if pause_s > 0:
            until_s = now_s + min(pause_s, MAX_PAUSE_S)
            self.paused_until_s = max(self.paused_until_s, until_s)


class AvailabilityRecords:
    """Statements of the searchers of one service, by lifetime.

    A record outlives the registration: after an outage of the platform or
    the return of a data centre, the same lifetime is registered again.
    """

    def __init__(self) -> None:
        self._records: dict[registrations.Lifetime, StatedAvailability] = {}

    def of(self, lifetime: registrations.Lifetime) -> StatedAvailability:
        """Return the record of a lifetime, a new one if there is none."""
        return self._records.setdefault(lifetime, StatedAvailability())

    def discard_obsolete(
        self,
        registered: collections.abc.Container[registrations.Lifetime],
        now_s: float,
    ) -> None:
        """Discard records of lifetimes that are not registered any more.

        Those that still forbid requests are kept up to a limit, the latest
        ones first.
        """
        unregistered = [k for k in self._records if k not in registered]
        forbidding = [
            k
            for k in unregistered
            if not self._records[k].permits_request(now_s)
        ]
        kept = set(forbidding[-_MAX_UNREGISTERED:])
        for lifetime in unregistered:
            if lifetime not in kept:
                del self._records[lifetime]
