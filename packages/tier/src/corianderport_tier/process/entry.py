"""corianderport_tier.process.entry

Serves the requests of callers: searches, tickets and actions.
"""

import contextlib

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import action_service
from corianderport_tier.process import admission
from corianderport_tier.process import aggregator
from corianderport_tier.process import configuration_store
from corianderport_tier.process import shutdown
from corianderport_tier.process import snapshot_availability
from corianderport_tier.process import ticket_table
from corianderport_tier.request import messages
from corianderport_tier.request import search
from corianderport_tier.version import configuration

__all__ = ['EntryService']


class EntryService:
    """Serves callers according to the configuration in force."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        sender: aggregator.Aggregator,
        actions: action_service.ActionService,
        gate: shutdown.RequestGate,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._sender = sender
        self._actions = actions
        self._gate = gate
        self._clock = clock
        self._availability = snapshot_availability.SnapshotAvailability(clock)
        self._admission = admission.AdmissionController(clock)

    def search(self, request: messages.SearchRequest) -> messages.SearchAnswer:
        """Serve one search on the calling task.

        :raises Refusal: no request was sent to any upstream.
        """
        accepted = self._store.current()
        configured = accepted.searches.get(request.search)
        with self._gate.enter(), self._admit(accepted, configured, request):
            return search.SearchTask(
                request,
                accepted,
                self._sender,
                self._availability,
                self._clock,
            ).run()

    def issue_ticket(self) -> ticket_table.IssuedTicket:
        """Return a ticket for one action.

        :raises NotReady: the host is shutting down.
        :raises Overloaded: too many tickets are unexpired.
        """
        with self._gate.enter():
            return self._actions.issue_ticket()

    def act(self, request: messages.ActionRequest) -> messages.ActionAnswer:
        """Serve one action on the calling task.

        :raises Refusal: the action did not run and will not run.
        :raises OutcomeUnknown: the action may have run or may still run.
        """
        request = self._with_configured_deadline(request)
        if request.ticket is None:
            accepted = self._store.current()
            configured = accepted.actions.get(request.action)
            with (
                self._gate.enter(),
                self._admit(accepted, configured, request),
            ):
                return self._actions.act(request)
        # A refusal states that the action has not run, which would be wrong
        # if the ticket has been used before. Only the ticket's host knows
        # that, so admission control is skipped.
        with self._gate.count():
            return self._actions.act(request)

    def _with_configured_deadline(
        self, request: messages.ActionRequest
    ) -> messages.ActionRequest:
        """Return the request with its deadline limited to its action's.

        A request for an action that is not configured is left unchanged;
        the host that issued the ticket handles it.
        """
        try:
            configured = self._store.current().actions.get(request.action)
        except errors.NotReady:
            return request
        if configured is None:
            return request
        deadline = request.deadline.within(self._clock, configured.deadline_ms)
        return attrs.evolve(request, deadline=deadline)

    def _admit(
        self,
        accepted: configuration.Configuration,
        configured: configuration.Search | configuration.Action | None,
        request: messages.SearchRequest | messages.ActionRequest,
    ) -> contextlib.AbstractContextManager[None]:
        worth = 0.0
        deadline = request.deadline
        if configured is not None:
            worth = configured.worth
            deadline = deadline.within(self._clock, configured.deadline_ms)
        return self._admission.admit(
            accepted, request.customer, worth, deadline
        )
