"""corianderport_tier.process.limits

Counts the requests that may be running at a searcher.
"""

import attrs

__all__ = ['Occupancy']


@attrs.define
class _Abandoned:
    """A request without an answer that may still be running.

    ``cancelled`` states that the searcher has confirmed the cancellation.
    """

    attempt_id: str
    until_s: float
    cancelled: bool = False


@attrs.define
class Occupancy:
    """Requests in flight and abandoned requests at one searcher.

    An abandoned request, whose connection was closed without an answer,
    may run until its deadline. It is counted until then or until the
    searcher confirms its cancellation. At the lowest limit, at which a
    second request may crash the searcher, the confirmation is not
    sufficient: the searcher may confirm before it has stopped the request.
    """

    _in_flight: int = 0
    _abandoned: dict[str, _Abandoned] = attrs.Factory(dict)

    @property
    def in_flight(self) -> int:
        """Number of requests that wait for an answer."""
        return self._in_flight

    def start(self) -> None:
        """Count a request that is about to be sent."""
        self._in_flight += 1

    def finish(self) -> None:
        """Remove a request that was answered or was not sent."""
        self._in_flight -= 1

    def abandon(self, attempt_id: str, until_s: float) -> None:
        """Keep counting a request without an answer until its deadline."""
        self._in_flight -= 1
        self._abandoned[attempt_id] = _Abandoned(attempt_id, until_s)

    def confirm_cancelled(self, attempt_id: str) -> None:
        """Record that the searcher has confirmed a cancellation."""
        abandoned = self._abandoned.get(attempt_id)
        if abandoned is not None:
            abandoned.cancelled = True

    def clear(self) -> None:
        """Remove abandoned requests after their process has ended."""
        self._abandoned.clear()

    def total(self, now_s: float, include_cancelled: bool) -> int:
        """Return the number of requests that may be running.

        :param include_cancelled: whether abandoned requests are counted
            after their cancellation was confirmed.
        """
        if not self._abandoned:
            return self._in_flight
        self._expire(now_s)
        counted = sum(
            include_cancelled or not a.cancelled
            for a in self._abandoned.values()
        )
        return self._in_flight + counted

    def next_expiry_s(self, now_s: float) -> float | None:
        """Return when the next abandoned request expires, None if none."""
        self._expire(now_s)
        return min((a.until_s for a in self._abandoned.values()), default=None)

    def _expire(self, now_s: float) -> None:
        for attempt_id, abandoned in list(self._abandoned.items()):
            if abandoned.until_s <= now_s:
                del self._abandoned[attempt_id]
