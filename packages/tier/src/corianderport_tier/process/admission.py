"""corianderport_tier.process.admission

Admission control of one host, by worth and by customer share.
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

# Names that the configuration does not have share one entry, so that a
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
        self._conditions: dict[
            admission_queue.QueueEntry, threading.Condition
        ] = {}

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
        request = _request(accepted, customer, worth, deadline)
        entry = self._enter(request)
        try:
            yield
        finally:
            with self._lock:
                self._wake(self._queue.finish(entry))

    def _enter(
        self, request: admission_queue.AdmissionRequest
    ) -> admission_queue.QueueEntry:
        states = admission_queue.State
        with self._lock:
            entry, changed = self._queue.offer(request)
            self._wake(changed)
            if entry.state is states.WAITING:
                self._wait(entry)
        if entry.refusal is not None:
            raise entry.refusal
        return entry

    def _wait(self, entry: admission_queue.QueueEntry) -> None:
        """Block until the entry's state changes; the lock is held."""
        condition = threading.Condition(self._lock)
        self._conditions[entry] = condition
        try:
            while entry.state is admission_queue.State.WAITING:
                left_s = (
                    self._queue.latest_start_s(entry) - self._clock.monotonic()
                )
                if left_s > 0:
                    self._clock.wait(condition, left_s)
                self._wake(self._queue.expire())
        finally:
            del self._conditions[entry]

    def _wake(
        self, changed: collections.abc.Iterable[admission_queue.QueueEntry]
    ) -> None:
        for entry in changed:
            condition = self._conditions.get(entry)
            if condition is not None:
                condition.notify()


def _request(
    accepted: configuration.Configuration,
    customer: str,
    worth: float,
    deadline: deadlines.Deadline,
) -> admission_queue.AdmissionRequest:
    customers = accepted.customers
    name = customer if customer in customers else _UNKNOWN_CUSTOMER
    known = customers.get(name)
    share = known.share if known is not None else _UNKNOWN_SHARE
    return admission_queue.AdmissionRequest(name, share, worth, deadline)
