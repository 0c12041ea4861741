"""corianderport_testkit.connection.fake_upstreams

Fake connections to searchers, with replies chosen by the test.
"""

import collections
import collections.abc
import threading

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.request import messages
from corianderport_tier.version import configuration

__all__ = ['FakeDialer', 'Handler', 'answer_all', 'never_answer']

Reply = (
    messages.UpstreamSearchReply
    | messages.UpstreamRefusal
    | errors.CorianderportError
)
Handler = collections.abc.Callable[[messages.UpstreamSearch], Reply | None]


def answer_all(call: messages.UpstreamSearch) -> messages.UpstreamSearchReply:
    """Return a complete answer for every shard."""
    return messages.UpstreamSearchReply(
        call.request_id,
        call.attempt_id,
        call.snapshot,
        'first',
        (call.snapshot,),
        tuple(messages.ShardAnswer(s, True, ()) for s in call.shards),
    )


def never_answer(call: messages.UpstreamSearch) -> None:
    """Return no reply, so that the call runs into its timeout."""


class FakeDialer:
    """Opens fake connections to searchers.

    ``handlers`` maps a searcher's name to the function that answers its
    calls; the default is ``answer_all``. An error that it returns is raised
    by the call, and None makes the call wait for its timeout.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.handlers: dict[str, Handler] = {}
        self._clock = clock
        self._condition = threading.Condition()
        self._calls: list[tuple[str, messages.UpstreamSearch]] = []
        self._cancelled: list[str] = []
        self._dials: collections.Counter[str] = collections.Counter()

    @property
    def calls(self) -> list[tuple[str, messages.UpstreamSearch]]:
        """Name of the searcher and message of every search, in order."""
        with self._condition:
            return list(self._calls)

    @property
    def dials(self) -> collections.Counter[str]:
        """Number of connections opened to each searcher so far."""
        with self._condition:
            return self._dials.copy()

    def dial(
        self, searcher: configuration.Searcher, timeout_s: float
    ) -> '_FakeTransport':
        """Return a connection to the searcher."""
        with self._condition:
            self._dials[searcher.name] += 1
        return _FakeTransport(self, searcher.name, self._clock)

    def search(self, name: str, call: messages.UpstreamSearch) -> Reply | None:
        """Record a search and return its reply."""
        with self._condition:
            self._calls.append((name, call))
            self._condition.notify_all()
        return self.handlers.get(name, answer_all)(call)

    def cancel(self, attempt_id: str) -> None:
        """Record a cancellation."""
        with self._condition:
            self._cancelled.append(attempt_id)
            self._condition.notify_all()

    def await_calls(self, count: int, timeout_s: float | None = None) -> None:
        """Block until that many searches have begun.

        :param timeout_s: in real time, not on the manual clock.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: len(self._calls) >= count, timeout_s
            )

    def await_cancelled(self, attempt_id: str) -> None:
        """Block until an attempt has been cancelled."""
        with self._condition:
            self._condition.wait_for(lambda: attempt_id in self._cancelled)


class _FakeTransport:
    """A connection to one searcher, whose handler answers the searches."""

    def __init__(
        self, dialer: FakeDialer, name: str, clock: clocks.Clock
    ) -> None:
        self._dialer = dialer
        self._name = name
        self._clock = clock
        self._condition = threading.Condition()
        self._aborted = False

    def search(
        self, call: messages.UpstreamSearch, timeout_s: float
    ) -> messages.UpstreamSearchReply | messages.UpstreamRefusal:
        timeout_at_s = self._clock.monotonic() + timeout_s
        reply = self._dialer.search(self._name, call)
        if isinstance(reply, errors.CorianderportError):
            raise reply
        if reply is not None:
            return reply
        self._wait(timeout_at_s)
        raise errors.ConnectionSilent('the fake searcher sent no answer')

    def act(
        self, call: messages.UpstreamAction, timeout_s: float
    ) -> messages.UpstreamActionReply | messages.UpstreamRefusal:
        raise errors.ConnectFailed(
            'the fake connection supports only searches'
        )

    def cancel(self, attempt_id: str, timeout_s: float) -> None:
        self._dialer.cancel(attempt_id)

    def abort(self) -> None:
        with self._condition:
            self._aborted = True
            self._condition.notify_all()

    def close(self) -> None:
        """Do nothing: a fake connection holds no resources."""

    def _wait(self, timeout_at_s: float) -> None:
        with self._condition:
            while self._clock.monotonic() < timeout_at_s:
                if self._aborted:
                    raise errors.ConnectionBroken('aborted')
                self._clock.wait(
                    self._condition, timeout_at_s - self._clock.monotonic()
                )
