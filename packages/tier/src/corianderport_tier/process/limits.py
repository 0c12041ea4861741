"""corianderport_tier.process.limits

Counts the requests that may be running at one searcher.
"""

import attrs

__all__ = ['Occupancy']


@attrs.define
class _Abandoned:
    """A request without an answer that may still be running."""

    attempt_id: str
    until_s: float
    cancelled: bool = False


@attrs.define
class Occupancy:
    """Requests in flight and abandoned requests of one searcher.

    A request whose connection was given up may still be running until its
    deadline. It counts until then, or until the searcher has confirmed
    its cancellation. Towards a searcher at the lowest limit, which may
    not survive a second request, a confirmation is not enough, because
    the searcher may confirm before it has stopped.
    """

    _in_flight: int = 0
    _abandoned: dict[str, _Abandoned] = attrs.Factory(dict)

    @property
    def in_flight(self) -> int:
        """Requests whose answer is awaited."""
        return self._in_flight

    def start(self) -> None:
        """Count a request that is about to be sent."""
        self._in_flight += 1

    def finish(self) -> None:
        """Count the answer to a request, or a request that was not sent."""
        self._in_flight -= 1

    def abandon(self, attempt_id: str, until_s: float) -> None:
        """Count a request without an answer until its deadline."""
        self._in_flight -= 1
        self._abandoned[attempt_id] = _Abandoned(attempt_id, until_s)

    def confirm_cancelled(self, attempt_id: str) -> None:
        """Note that the searcher confirmed a cancellation."""
        abandoned = self._abandoned.get(attempt_id)
        if abandoned is not None:
            abandoned.cancelled = True

    def clear(self) -> None:
        """Drop abandoned requests; the process that ran them has ended."""
        self._abandoned.clear()

    def total(self, now_s: float, strict: bool) -> int:
        """Return the number of requests that may be running.

        :param strict: whether cancelled requests count.
        """
        if not self._abandoned:
            return self._in_flight
        self._expire(now_s)
        counted = sum(
            strict or not a.cancelled for a in self._abandoned.values()
        )
        return self._in_flight + counted

    def next_expiry_s(self, now_s: float) -> float | None:
        """Return when the next abandoned request ends; None without any."""
        self._expire(now_s)
        return min((a.until_s for a in self._abandoned.values()), default=None)

    def _expire(self, now_s: float) -> None:
        for attempt_id, abandoned in list(self._abandoned.items()):
            if abandoned.until_s <= now_s:
                del self._abandoned[attempt_id]
