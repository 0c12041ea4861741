"""corianderport_tier.process.entry

The entry role: serves the requests of callers.
"""

from corianderport_tier import clocks
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

    def search(self, request: messages.SearchRequest) -> messages.SearchAnswer:
        """Serve one search on the calling task.

        :raises Refusal: nothing was sent to any upstream.
        """
        return search.SearchTask(
            request,
            self._store.current(),
            self._router,
            self._availability,
            self._clock,
            self._log,
        ).run()
