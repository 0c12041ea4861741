"""corianderport_daemon.process.host_requests

Serves the requests of callers and the probes of readiness.
"""

import collections.abc

from corianderport_daemon.process import adapters
from corianderport_tier import errors
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forwarding
from corianderport_wire.connection import caller_listener

__all__ = ['HostRequests']


class HostRequests:
    """Translates between HTTP and the forwarder.

    :param ready: returns whether the host is ready to serve callers.
    """

    def __init__(
        self,
        adapter: adapters.Adapter,
        forwarder: forwarding.Forwarder,
        ready: collections.abc.Callable[[], bool],
    ) -> None:
        self._adapter = adapter
        self._forwarder = forwarder
        self._ready = ready

    def wants_body(self, head: caller_listener.ReceivedRequest) -> bool:
        """Return whether the body of a request is needed to answer it."""
        try:
            request = self._adapter.request(head)
        except errors.CorianderportError:
            # The handler answers it.
            return False
        return self._forwarder.wants_body(request)

    def serve(
        self,
        received: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse | None:
        """Serve a caller; return None if the caller disconnected."""
        answer: forward_messages.ForwardAnswer | None
        try:
            request = self._adapter.request(received)
            answer = self._forwarder.answer(request, caller)
        except errors.CorianderportError as error:
            answer = forward_messages.Failure(error.code, str(error))
        return (
            None if answer is None else self._adapter.answer(answer, received)
        )

    def serve_readiness(
        self,
        received: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        """Answer a probe of the load balancer."""
        if received.target != self._adapter.readiness_target:
            return caller_listener.HttpResponse(404, (), b'')
        return caller_listener.HttpResponse(
            200 if self._ready() else 503, (), b''
        )
