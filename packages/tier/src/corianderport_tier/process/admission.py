"""corianderport_tier.process.admission

Admission control of one host by request worth and customer share.
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

# Customers that the configuration does not list are counted as one, so that
# a caller cannot gain capacity by inventing names.
_UNKNOWN_CUSTOMER = 'default'
_UNKNOWN_SHARE = 1.0


class AdmissionController:
    """Limits concurrent requests; the excess waits or is refused."""

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
        """Number of running requests."""
        return self._queue.running

    @property
    def limit(self) -> int:
        """Maximum number of concurrently running requests."""
        return self._queue.limit

    @contextlib.contextmanager
    def admit(
        self,
        accepted: configuration.Configuration,
        customer: str,
        worth: float,
        deadline: deadlines.Deadline,
    ) -> collections.abc.Iterator[None]:
        """Run the block as soon as the host has capacity for the request.

        The calling task blocks while the request waits, but not beyond the
        latest start that still meets the deadline.

        :raises DeadlinePast: the deadline has passed.
        :raises Overloaded: the request cannot finish in time; the block
            did not run.
        :raises QuotaExceeded: as for Overloaded, but the customer is over
            its share while other customers send requests.
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
            entry, changed_entries = self._queue.offer(request)
            self._wake(changed_entries)
            if entry.state is states.WAITING:
                self._wait(entry)
        if entry.refusal is not None:
            raise entry.refusal
        return entry

    def _wait(self, entry: admission_queue.QueueEntry) -> None:
        """Block until the entry's state changes.

        The caller holds the lock.
        """
        condition = threading.Condition(self._lock)
        self._conditions[entry] = condition
        try:
            while entry.state is admission_queue.State.WAITING:
                remaining_s = (
                    self._queue.latest_start_s(entry) - self._clock.monotonic()
                )
                if remaining_s > 0:
                    self._clock.wait(condition, remaining_s)
                self._wake(self._queue.expire())
        finally:
            del self._conditions[entry]

    def _wake(
        self,
        changed_entries: collections.abc.Iterable[admission_queue.QueueEntry],
    ) -> None:
        for entry in changed_entries:
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
    configured = customers.get(name)
    share = configured.share if configured is not None else _UNKNOWN_SHARE
    return admission_queue.AdmissionRequest(name, share, worth, deadline)
