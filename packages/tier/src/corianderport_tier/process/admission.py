"""corianderport_tier.process.admission

AdmissionController control of one host, by worth and by customer share.
"""

import collections.abc
import contextlib
import threading

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import admission_limit
from corianderport_tier.process import admission_queue
from corianderport_tier.request import deadlines
from corianderport_tier.version import configuration

__all__ = ['AdmissionController']

# Names that the configuration does not have share one place, so that a
# caller cannot gain capacity by inventing names.
_UNKNOWN_CUSTOMER = 'default'
_UNKNOWN_SHARE = 1.0


class AdmissionController:
    """Lets a bounded number of requests run; the others wait or end."""

    def __init__(
        self,
        clock: clocks.Clock,
        limits: admission_limit.AdmissionLimits | None = None,
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._queue = admission_queue.AdmissionQueue(
            limits or admission_limit.AdmissionLimits(), clock
        )
        self._conditions: dict[admission_queue.Place, threading.Condition] = {}

    @property
    def running(self) -> int:
        """Requests that run now."""
        return self._queue.running

    @property
    def limit(self) -> int:
        """Requests that may run at once."""
        return self._queue.limit

    @contextlib.contextmanager
    def admit(
        self,
        accepted: configuration.Configuration,
        customer: str,
        worth: float,
        deadline: deadlines.Deadline,
    ) -> collections.abc.Iterator[None]:
        """Run the block once the host has room for the request.

        The calling task blocks while the request waits, never beyond the
        time at which it can still finish by its deadline.

        :raises DeadlinePast: no time is left.
        :raises Overloaded: the request cannot finish in time; the block
            did not run.
        :raises QuotaExceeded: as above, while its customer is over its
            share and others ask too.
        """
        if deadline.passed(self._clock):
            raise errors.DeadlinePast('the deadline has passed')
        ask = _ask(accepted, customer, worth, deadline)
        place = self._enter(ask)
        try:
            yield
        finally:
            with self._lock:
                self._wake(self._queue.finish(place))

    def _enter(self, ask: admission_queue.Ask) -> admission_queue.Place:
        states = admission_queue.State
        with self._lock:
            place, changed = self._queue.offer(ask)
            self._wake(changed)
            if place.state is states.WAITING:
                self._wait(place)
        if place.refusal is not None:
            raise place.refusal
        return place

    def _wait(self, place: admission_queue.Place) -> None:
        """Block until the place's state changes; the lock is held."""
        condition = threading.Condition(self._lock)
        self._conditions[place] = condition
        try:
            while place.state is admission_queue.State.WAITING:
                left_s = (
                    self._queue.latest_start_s(place) - self._clock.monotonic()
                )
                if left_s > 0:
                    self._clock.wait(condition, left_s)
                self._wake(self._queue.expire())
        finally:
            del self._conditions[place]

    def _wake(
        self, changed: collections.abc.Iterable[admission_queue.Place]
    ) -> None:
        for place in changed:
            condition = self._conditions.get(place)
            if condition is not None:
                condition.notify()


def _ask(
    accepted: configuration.Configuration,
    customer: str,
    worth: float,
    deadline: deadlines.Deadline,
) -> admission_queue.Ask:
    customers = accepted.customers
    name = customer if customer in customers else _UNKNOWN_CUSTOMER
    known = customers.get(name)
    share = known.share if known is not None else _UNKNOWN_SHARE
    return admission_queue.Ask(name, share, worth, deadline)
