"""corianderport_tier.process.entry

The entry role: serves the requests of callers.
"""

from corianderport_tier import clocks
from corianderport_tier.process import admission
from corianderport_tier.process import configuration_store
from corianderport_tier.process import decision_log
from corianderport_tier.process import routing
from corianderport_tier.process import snapshot_availability
from corianderport_tier.request import messages
from corianderport_tier.request import search

__all__ = ['Entry']


class Entry:
    """Serves callers with the configuration in force."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        router: routing.Router,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        self._store = store
        self._router = router
        self._clock = clock
        self._log = log
        self._availability = snapshot_availability.SnapshotAvailability(clock)
        self._admission = admission.Admission(clock)

    def search(self, request: messages.SearchRequest) -> messages.SearchAnswer:
        """Serve one search on the calling task.

        :raises Refusal: nothing was sent to any upstream.
        """
        accepted = self._store.current()
        found = accepted.searches.get(request.search)
        worth = found.worth if found is not None else 0.0
        with self._admission.admit(
            accepted, request.customer, worth, request.deadline
        ):
            return search.SearchTask(
                request,
                accepted,
                self._router,
                self._availability,
                self._clock,
                self._log,
            ).run()
