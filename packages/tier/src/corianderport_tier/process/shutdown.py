"""corianderport_tier.process.shutdown

Graceful shutdown of a host, which lets running requests finish.
"""

import collections.abc
import contextlib
import logging
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import drain
from corianderport_tier.request import deadlines

__all__ = [
    'GracefulShutdown',
    'Readiness',
    'RequestGate',
    'ShutdownReport',
    'ShutdownTimes',
]

_LOG = logging.getLogger(__name__)
# Time before the end of the drain in which the last answers are returned.
_LAST_ANSWER_MARGIN_S = 0.2


class Readiness:
    """Whether a load balancer should send new requests to this host.

    :param data_centre: data centre of this host; None to ignore whether it
        is in service.
    """

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        data_centre: str | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._store = store
        self._stopping = False

    @property
    def ready(self) -> bool:
        """Whether the host is in service and not shutting down."""
        return (
            not self._stopping
            and self._store.version > 0
            and self._in_service()
        )

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has started."""
        return self._stopping

    def _in_service(self) -> bool:
        centres = self._store.current().data_centres
        centre = centres.get(self._data_centre or '')
        return centre is None or centre.in_service

    def begin_stop(self) -> None:
        """Report the host as not ready from now on."""
        self._stopping = True


class RequestGate:
    """Counts running requests and refuses new ones once closed."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._running = 0
        self._closed = False
        self._interrupted = False

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return self._running

    @property
    def closed(self) -> bool:
        """Whether new requests are refused."""
        return self._closed

    def enter(self) -> contextlib.AbstractContextManager[None]:
        """Return a context that counts one running request.

        :raises NotReady: the gate is closed.
        """
        with self._condition:
            if self._closed:
                raise errors.NotReady('the host is shutting down')
            self._running += 1
        return self._until_request_ends()

    def count(self) -> contextlib.AbstractContextManager[None]:
        """Like ``enter``, but never refuse the request."""
        with self._condition:
            self._running += 1
        return self._until_request_ends()

    def close(self) -> None:
        """Refuse new requests from now on."""
        with self._condition:
            self._closed = True

    def interrupt(self) -> None:
        """Make ``wait_idle`` return immediately."""
        with self._condition:
            self._interrupted = True
            self._condition.notify_all()

    def wait_idle(self, until: deadlines.Deadline) -> bool:
        """Wait until no request is running; return False on timeout."""
        with self._condition:
            while self._running and not self._interrupted:
                remaining = until.remaining(self._clock)
                if remaining <= 0:
                    break
                self._clock.wait(self._condition, remaining)
            return self._running == 0

    @contextlib.contextmanager
    def _until_request_ends(self) -> collections.abc.Iterator[None]:
        try:
            yield
        finally:
            with self._condition:
                self._running -= 1
                self._condition.notify_all()


@attrs.frozen
class ShutdownTimes:
    """Timing of a graceful shutdown, in seconds.

    ``lag_s`` is how long a load balancer may keep sending new requests after
    the host has reported not ready; ``limit_s`` is the timeout after that for
    running requests to finish.
    """

    lag_s: float = 5.0
    limit_s: float = 10.0


@attrs.frozen
class ShutdownReport:
    """Result of a graceful shutdown.

    The requests of callers and of other hosts that were still running have
    been aborted; ``successors`` is the number of hosts that received the
    ticket outcomes.
    """

    aborted_caller_requests: int
    aborted_peer_requests: int
    successors: int

    @property
    def clean(self) -> bool:
        """Whether no request was aborted."""
        return self.aborted_caller_requests + self.aborted_peer_requests == 0


class GracefulShutdown:
    """Takes a host out of service step by step.

    :param host_drain: tells running requests when they have to end.
    :param announce_leaving: tells the other hosts that this one is leaving.
    :param seal_tickets: makes the ticket table refuse new actions; called
        once new requests of callers are refused.
    :param hand_over_outcomes: sends the ticket outcomes to other hosts and
        returns the number of hosts that received them.
    """

    def __init__(
        self,
        readiness: Readiness,
        caller_gate: RequestGate,
        peer_gate: RequestGate,
        host_drain: drain.Drain,
        announce_leaving: collections.abc.Callable[[], None],
        seal_tickets: collections.abc.Callable[[], None],
        hand_over_outcomes: collections.abc.Callable[[], int],
        times: ShutdownTimes,
        clock: clocks.Clock,
    ) -> None:
        self._readiness = readiness
        self._caller_gate = caller_gate
        self._peer_gate = peer_gate
        self._drain = host_drain
        self._announce_leaving = announce_leaving
        self._seal_tickets = seal_tickets
        self._hand_over_outcomes = hand_over_outcomes
        self._times = times
        self._clock = clock
        self._condition = threading.Condition()
        self._interrupted = False

    def run(self) -> ShutdownReport:
        """Shut down; the process may exit when this returns.

        Requests of other hosts are refused last: callers' requests that run
        here need no other host to finish, but requests that run on other
        hosts may still need this one.
        """
        until = deadlines.Deadline.after(
            self._clock, self._times.lag_s + self._times.limit_s
        )
        self._readiness.begin_stop()
        self._announce_leaving()
        self._drain.begin(until.earlier(_LAST_ANSWER_MARGIN_S))
        _LOG.info('stopping: no longer ready')
        self._wait_lag()
        self._caller_gate.close()
        self._seal_tickets()
        _LOG.info(
            'stopping: %d requests still running', self._caller_gate.running
        )
        self._caller_gate.wait_idle(until)
        self._peer_gate.close()
        self._peer_gate.wait_idle(until)
        return self._hand_over_and_report()

    def interrupt(self) -> None:
        """End all waits; requests still running are aborted."""
        with self._condition:
            self._interrupted = True
            self._condition.notify_all()
        self._caller_gate.interrupt()
        self._peer_gate.interrupt()

    def _wait_lag(self) -> None:
        until = deadlines.Deadline.after(self._clock, self._times.lag_s)
        with self._condition:
            while not self._interrupted and not until.passed(self._clock):
                self._clock.wait(self._condition, until.remaining(self._clock))

    def _hand_over_and_report(self) -> ShutdownReport:
        callers, peers = self._caller_gate.running, self._peer_gate.running
        report = ShutdownReport(callers, peers, self._hand_over_outcomes())
        if report.clean:
            _LOG.info('stopped: all requests finished')
        else:
            _LOG.warning(
                'stopped: aborted %d requests of callers and %d of hosts',
                report.aborted_caller_requests,
                report.aborted_peer_requests,
            )
        if report.successors == 0:
            _LOG.warning('stopped: no host received the ticket outcomes')
        return report
