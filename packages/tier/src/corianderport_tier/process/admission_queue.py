"""corianderport_tier.process.admission_queue

Decides which requests run, wait or are refused, without blocking.
"""

import collections
import enum

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import admission_limit
from corianderport_tier.request import deadlines

__all__ = ['AdmissionQueue', 'AdmissionRequest', 'QueueEntry', 'State']

_ACTIVE_CUSTOMER_S = 1.0
# A refusal has to reach the caller within a tenth of its deadline.
_MAX_WAIT_FRACTION = 0.08


@attrs.frozen
class AdmissionRequest:
    """The parameters of a request; ``share`` is that of its customer."""

    customer: str
    share: float
    worth: float
    deadline: deadlines.Deadline


class State(enum.Enum):
    """State of a request in admission control."""

    WAITING = 'waiting'
    RUNNING = 'running'
    REFUSED = 'refused'
    FINISHED = 'finished'


@attrs.define(eq=False)
class QueueEntry:
    """State of one request; times are on the host's monotonic clock."""

    request: AdmissionRequest
    arrived_s: float
    state: State = State.WAITING
    refusal: errors.Refusal | None = None
    started_s: float = 0.0
    available_s: float = 0.0


@attrs.define
class _Customer:
    """Usage of the host by one customer."""

    share: float
    seen_s: float
    running: int = 0


class AdmissionQueue:
    """Running requests and a bounded queue of waiting requests.

    While the host is full, requests of customers below their share start
    first, then requests of more worth, then older ones. Shares are relative
    to the customers that sent a request within the last second, so capacity
    that no other customer uses is not withheld.
    """

    def __init__(
        self, limits: admission_limit.AdmissionLimits, clock: clocks.Clock
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._limit = admission_limit.ConcurrencyLimit(limits)
        self._running = 0
        self._waiting: list[QueueEntry] = []
        self._customers: dict[str, _Customer] = {}

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._running

    @property
    def waiting(self) -> tuple[QueueEntry, ...]:
        """Entries of the waiting requests."""
        return tuple(self._waiting)

    @property
    def limit(self) -> int:
        """Maximum number of concurrently running requests."""
        return self._limit.value

    def latest_start_s(self, entry: QueueEntry) -> float:
        """Return the time until which a request may wait."""
        deadline_s = entry.request.deadline.at_s
        wait_s = _MAX_WAIT_FRACTION * (deadline_s - entry.arrived_s)
        return min(deadline_s - self._limit.mean_s, entry.arrived_s + wait_s)

    def offer(
        self, request: AdmissionRequest
    ) -> tuple[QueueEntry, list[QueueEntry]]:
        """Start, queue or refuse a request.

        :return: its entry and the other entries whose state changed.
        """
        now_s = self._clock.monotonic()
        entry = QueueEntry(request, now_s)
        self._record_arrival(request, now_s)
        changed = self._refuse_expired(now_s)
        if self._cannot_finish(entry, now_s):
            self._refuse(entry, 'the request cannot finish by its deadline')
        elif self._running < self.limit and not self._waiting:
            self._start(entry, now_s)
        else:
            self._waiting.append(entry)
            changed += self._refuse_excess(now_s)
        return entry, [e for e in changed if e is not entry]

    def finish(self, entry: QueueEntry) -> list[QueueEntry]:
        """Remove a finished request and start waiting ones.

        :return: other entries whose state changed.
        """
        now_s = self._clock.monotonic()
        self._limit.on_finish(
            now_s, now_s - entry.started_s, entry.available_s, self._running
        )
        entry.state = State.FINISHED
        self._running -= 1
        self._customers[entry.request.customer].running -= 1
        return self._refuse_expired(now_s) + self._start_waiting(now_s)

    def expire(self) -> list[QueueEntry]:
        """Refuse waiting requests that can no longer finish in time."""
        return self._refuse_expired(self._clock.monotonic())

    def _record_arrival(self, request: AdmissionRequest, now_s: float) -> None:
        customers = self._customers
        for name in [
            n
            for n, c in customers.items()
            if not c.running and now_s - c.seen_s > _ACTIVE_CUSTOMER_S
        ]:
            del customers[name]
        customer = customers.setdefault(
            request.customer, _Customer(request.share, now_s)
        )
        customer.share = request.share
        customer.seen_s = now_s

    def _over_share(self, name: str, waiting: int = 0) -> bool:
        """Whether a customer uses at least its share of the limit.

        :param waiting: number of its waiting requests to count as running.
        """
        customer = self._customers.get(name)
        if customer is None:
            return False
        total_share = sum(c.share for c in self._customers.values())
        used = customer.running + waiting
        return used * total_share >= self._limit.value * customer.share

    def _by_priority(self) -> list[QueueEntry]:
        """Return the waiting requests in the order in which they start."""
        waiting_ahead: collections.Counter[str] = collections.Counter()
        keyed = []
        for entry in sorted(
            self._waiting, key=lambda e: (-e.request.worth, e.arrived_s)
        ):
            name = entry.request.customer
            keyed.append((self._over_share(name, waiting_ahead[name]), entry))
            waiting_ahead[name] += 1
        return [e for over, e in sorted(keyed, key=lambda k: k[0])]

    def _cannot_finish(self, entry: QueueEntry, now_s: float) -> bool:
        # An idle host runs every request, so that an outdated long run
        # time is replaced by a new measurement.
        remaining_s = entry.request.deadline.at_s - now_s
        needed_s = self._limit.fastest_s if self._running else 0.0
        return remaining_s <= needed_s

    def _start(self, entry: QueueEntry, now_s: float) -> None:
        entry.state = State.RUNNING
        entry.started_s = now_s
        entry.available_s = entry.request.deadline.at_s - now_s
        self._running += 1
        customer = self._customers.setdefault(
            entry.request.customer, _Customer(entry.request.share, now_s)
        )
        customer.running += 1

    def _refuse(self, entry: QueueEntry, reason: str) -> None:
        entry.state = State.REFUSED
        name = entry.request.customer
        if len(self._customers) > 1 and self._over_share(name):
            entry.refusal = errors.QuotaExceeded(
                f'customer {name} is over its share: {reason}'
            )
        else:
            entry.refusal = errors.Overloaded(reason)

    def _refuse_expired(self, now_s: float) -> list[QueueEntry]:
        expired = [e for e in self._waiting if now_s >= self.latest_start_s(e)]
        for entry in expired:
            self._waiting.remove(entry)
            self._refuse(
                entry, 'the request waited too long to finish in time'
            )
        return expired

    def _refuse_excess(self, now_s: float) -> list[QueueEntry]:
        """Refuse requests that exceed the queue or would start too late.

        Of the requests that exceed the queue, those that would start last
        are refused.
        """
        refused: list[QueueEntry] = []
        ordered = self._by_priority()
        for position, entry in enumerate(ordered):
            wait_s = position * self._limit.mean_s / self.limit
            starts_s = now_s + wait_s
            if position - len(
                refused
            ) >= self._limits.queue or starts_s >= self.latest_start_s(entry):
                refused.append(entry)
        for entry in refused:
            self._waiting.remove(entry)
            self._refuse(
                entry, 'the request would start too late to finish in time'
            )
        return refused

    def _start_waiting(self, now_s: float) -> list[QueueEntry]:
        started = []
        while self._waiting and self._running < self.limit:
            entry = self._by_priority()[0]
            self._waiting.remove(entry)
            self._start(entry, now_s)
            started.append(entry)
        return started
