"""corianderport_tier.request.request_context

What a forwarded request needs of its host and of its connection.
"""

import collections.abc
import random
import typing

from corianderport_tier import clocks
from corianderport_tier.process import answer_delay
from corianderport_tier.process import cost_estimates
from corianderport_tier.process import decision_log
from corianderport_tier.process import directory
from corianderport_tier.process import drain
from corianderport_tier.process import route_latency
from corianderport_tier.process import unanswered_sends
from corianderport_tier.request import delegation as delegation_module
from corianderport_tier.request import forward_messages
from corianderport_tier.version import routes

__all__ = ['Caller', 'DisconnectWatch', 'HostState']


class DisconnectWatch(typing.Protocol):
    """A connection whose end is noticed while its request runs."""

    def watch(
        self, on_disconnect: collections.abc.Callable[[], None]
    ) -> typing.ContextManager[object]:
        """Call ``on_disconnect`` on a close within the context."""


class Caller(DisconnectWatch, typing.Protocol):
    """The connection on which a request arrived."""

    def call_when_sent(
        self, on_sent: collections.abc.Callable[[], None]
    ) -> None:
        """Call ``on_sent`` once the answer is written to the network."""


class HostState(typing.Protocol):
    """What all requests of a host share."""

    clock: clocks.Clock
    log: decision_log.DecisionLog
    rng: random.Random
    drain: drain.Drain
    directory: directory.Directory
    answer_delay: answer_delay.AnswerDelay
    # None if all gathers run on this host.
    delegator: delegation_module.Delegator | None
    unanswered_sends: unanswered_sends.UnansweredSends

    def latency(self, route: routes.Route) -> route_latency.RouteLatency:
        """Return the latency statistics of a route."""

    def request_class(
        self, route: routes.Route, request: forward_messages.ForwardRequest
    ) -> cost_estimates.RequestClass:
        """Return the class of a request, by its expected cost."""
