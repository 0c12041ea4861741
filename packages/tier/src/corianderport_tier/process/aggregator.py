"""corianderport_tier.process.aggregator

Sends sub-queries and actions to searchers and collects the answers.
"""

import typing

from corianderport_tier import clocks
from corianderport_tier.process import decision_log
from corianderport_tier.process import drain
from corianderport_tier.process import upstream_services
from corianderport_tier.request import action_attempts
from corianderport_tier.request import gather
from corianderport_tier.request import messages

__all__ = ['Aggregator', 'LocalAggregator']


class Aggregator(typing.Protocol):
    """Runs actions and the sub-queries of searches on the calling task."""

    def run(self, batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        """Return the answers that arrived by the batch's deadline.

        :raises NotReady: no configuration has been accepted yet.
        """

    def act(self, call: messages.ActionCall) -> messages.ActionAnswer:
        """Run an action at most once.

        :raises Refusal: no searcher ran the action and none will.
        :raises OutcomeUnknown: a searcher may have run the action.
        """


class LocalAggregator:
    """An aggregator that sends from this host.

    :param host_drain: ends what is running before a stopping host exits.
    """

    def __init__(
        self,
        services: upstream_services.UpstreamServices,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        host_drain: drain.Drain | None = None,
    ) -> None:
        self._drain = host_drain or drain.Drain(clock)
        self._services = services
        self._clock = clock
        self._log = log

    def run(self, batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        """Run the batch on the calling task."""
        return gather.Gather(
            batch, self._services, self._clock, self._log, self._drain
        ).run()

    def act(self, call: messages.ActionCall) -> messages.ActionAnswer:
        """Run the action on the calling task."""
        return action_attempts.ActionRun(
            call, self._services, self._clock, self._log, self._drain
        ).run()
