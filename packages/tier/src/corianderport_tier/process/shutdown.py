"""corianderport_tier.process.shutdown

The graceful shutdown of a host, which cuts off no request.
"""

import collections.abc
import contextlib
import logging
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.request import deadlines

__all__ = [
    'GracefulShutdown',
    'Readiness',
    'RequestGate',
    'ShutdownReport',
    'ShutdownTimes',
]

_LOG = logging.getLogger(__name__)


class Readiness:
    """Whether a load balancer should send new requests to this host.

    :param data_centre: where this host is; None when it does not matter.
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
        """Whether the host is in service and no stop has begun."""
        return (
            not self._stopping
            and self._store.version > 0
            and self._in_service()
        )

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._stopping

    def _in_service(self) -> bool:
        centres = self._store.current().data_centres
        centre = centres.get(self._data_centre or '')
        return centre is None or centre.in_service

    def begin_stop(self) -> None:
        """Report not ready from now on."""
        self._stopping = True


class RequestGate:
    """Counts the running requests and refuses new ones once closed."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._running = 0
        self._closed = False
        self._interrupted = False

    @property
    def running(self) -> int:
        """Requests that have begun and not ended."""
        return self._running

    @property
    def closed(self) -> bool:
        """Whether new requests are refused."""
        return self._closed

    def enter(self) -> contextlib.AbstractContextManager[None]:
        """Count one request for as long as it runs.

        :raises NotReady: the gate is closed.
        """
        with self._condition:
            if self._closed:
                raise errors.NotReady('the host is shutting down')
            self._running += 1
        return self._counted()

    def count(self) -> contextlib.AbstractContextManager[None]:
        """Count one request, also when the gate is closed."""
        with self._condition:
            self._running += 1
        return self._counted()

    def close(self) -> None:
        """Refuse new requests from now on."""
        with self._condition:
            self._closed = True

    def interrupt(self) -> None:
        """End ``wait_idle`` at once."""
        with self._condition:
            self._interrupted = True
            self._condition.notify_all()

    def wait_idle(self, until: deadlines.Deadline) -> bool:
        """Wait until no request runs; False when some still do."""
        with self._condition:
            while self._running and not self._interrupted:
                remaining = until.remaining(self._clock)
                if remaining <= 0:
                    break
                self._clock.wait(self._condition, remaining)
            return self._running == 0

    @contextlib.contextmanager
    def _counted(self) -> collections.abc.Iterator[None]:
        try:
            yield
        finally:
            with self._condition:
                self._running -= 1
                self._condition.notify_all()


@attrs.frozen
class ShutdownTimes:
    """Timing of a graceful shutdown, in seconds.

    ``lag_s`` is how long a load balancer may still send new requests after
    the host has reported not ready; ``limit_s`` bounds the time for running
    requests to end after that.
    """

    lag_s: float = 5.0
    limit_s: float = 10.0


@attrs.frozen
class ShutdownReport:
    """How a graceful shutdown ended.

    The counts are of requests that were still running; ``successors`` hosts
    have the ticket outcomes.
    """

    callers_cut: int
    peers_cut: int
    successors: int

    @property
    def clean(self) -> bool:
        """Whether no request was cut off."""
        return self.callers_cut + self.peers_cut == 0


class GracefulShutdown:
    """Takes a host out of service step by step.

    :param announce: tells the other hosts that this one is leaving.
    :param seal: called when new requests of callers are refused.
    :param hand_over: sends the ticket outcomes away and returns to how many
        hosts.
    """

    def __init__(
        self,
        readiness: Readiness,
        callers: RequestGate,
        peers: RequestGate,
        announce: collections.abc.Callable[[], None],
        seal: collections.abc.Callable[[], None],
        hand_over: collections.abc.Callable[[], int],
        times: ShutdownTimes,
        clock: clocks.Clock,
    ) -> None:
        self._readiness = readiness
        self._callers = callers
        self._peers = peers
        self._announce = announce
        self._seal = seal
        self._hand_over = hand_over
        self._times = times
        self._clock = clock
        self._condition = threading.Condition()
        self._interrupted = False

    def run(self) -> ShutdownReport:
        """Stop; the process may exit when this returns.

        Other hosts are refused last, because running requests of callers
        need no other host to end, but other hosts may need this one.
        """
        self._readiness.begin_stop()
        self._announce()
        _LOG.info('stopping: no longer ready')
        self._wait_lag()
        self._callers.close()
        self._seal()
        _LOG.info('stopping: %d requests run', self._callers.running)
        until = deadlines.Deadline.after(self._clock, self._times.limit_s)
        self._callers.wait_idle(until)
        self._peers.close()
        self._peers.wait_idle(until)
        return self._finish()

    def interrupt(self) -> None:
        """End all waits; what still runs is cut off."""
        with self._condition:
            self._interrupted = True
            self._condition.notify_all()
        self._callers.interrupt()
        self._peers.interrupt()

    def _wait_lag(self) -> None:
        until = deadlines.Deadline.after(self._clock, self._times.lag_s)
        with self._condition:
            while not self._interrupted and not until.passed(self._clock):
                self._clock.wait(self._condition, until.remaining(self._clock))

    def _finish(self) -> ShutdownReport:
        callers, peers = self._callers.running, self._peers.running
        report = ShutdownReport(callers, peers, self._hand_over())
        if report.clean:
            _LOG.info('stopped: no request was cut off')
        else:
            _LOG.warning(
                'stopped: cut off %d requests of callers and %d of hosts',
                report.callers_cut,
                report.peers_cut,
            )
        if report.successors == 0:
            _LOG.warning('stopped: no host took over the ticket outcomes')
        return report
