"""corianderport_tier.process.aggregator

The aggregator role: runs batches for the services that a host owns.
"""

import collections.abc
import concurrent.futures
import typing

import attrs

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import owned_services
from corianderport_tier.process import ownership_types
from corianderport_tier.request import action_attempts
from corianderport_tier.request import gather
from corianderport_tier.request import messages

__all__ = ['Aggregator', 'BatchResult', 'LocalAggregator']


@attrs.frozen
class BatchResult:
    """The answer to a batch, or the error that ended it."""

    batch: messages.SubQueryBatch
    answer: messages.BatchAnswer | errors.CorianderportError


Deliver = collections.abc.Callable[[BatchResult], None]


class Aggregator(typing.Protocol):
    """The owner of a set of services, on this host or on another."""

    def submit(self, batch: messages.SubQueryBatch, deliver: Deliver) -> None:
        """Start a batch; ``deliver`` gets its result once."""

    def act(self, call: messages.ActionCall) -> messages.ActionAnswer:
        """Run an action, with one attempt at one searcher.

        :raises Refusal: no searcher ran the action, and none will.
        :raises ConnectFailed: the owner was not reached.
        :raises CorianderportError: whether it ran is not known.
        """


class LocalAggregator:
    """The aggregator of this host."""

    def __init__(
        self,
        services: owned_services.OwnedServices,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
        held: ownership_types.LeaseCheck,
    ) -> None:
        self._leases = held
        self._services = services
        self._executor = executor
        self._clock = clock
        self._log = log

    def submit(self, batch: messages.SubQueryBatch, deliver: Deliver) -> None:
        """Run the batch on a task of its own."""
        self._executor.submit(lambda: deliver(self._result(batch)))

    def run(self, batch: messages.SubQueryBatch) -> messages.BatchAnswer:
        """Run the batch on the calling task.

        :raises NotReady: there is no configuration yet.
        :raises NotOwner: this host may not send to any of the services.
        """
        states = {
            s.service: self._leases.may_send(s.service)
            for s in batch.sub_queries
        }
        not_owned = tuple(
            service
            for service, state in states.items()
            if state is ownership_types.LeaseState.NONE
        )
        owned = tuple(
            s for s in batch.sub_queries if s.service not in not_owned
        )
        if not owned:
            raise errors.NotOwner(f'not owner of {", ".join(not_owned)}')
        answer = gather.Gather(
            attrs.evolve(batch, sub_queries=owned),
            self._services,
            self._clock,
            self._log,
        ).run()
        # Refused for want of a lease: it may be had soon, or by the other
        # owner. The state from before counts too, since the lease may have
        # begun while the other services of the batch were answered.
        lapsed = tuple(
            service
            for service in answer.refused
            if states[service] is not ownership_types.LeaseState.FULL
            or self._leases.may_send(service)
            is not ownership_types.LeaseState.FULL
        )
        return attrs.evolve(answer, not_owned=not_owned + lapsed)

    def act(self, call: messages.ActionCall) -> messages.ActionAnswer:
        """Run the action on the calling task."""

        not_owner = errors.NotOwner(f'not owner of {call.service}')

        def check() -> None:
            held = self._leases.may_send(call.service)
            if held is ownership_types.LeaseState.NONE:
                raise not_owner

        check()
        before = self._leases.may_send(call.service)
        try:
            return action_attempts.OwnerAction(
                call, self._services, check, self._clock, self._log
            ).run()
        except errors.NoUpstream as error:
            after = self._leases.may_send(call.service)
            if before is after is ownership_types.LeaseState.FULL:
                raise
            # Without a lease only warm searchers may be used.
            raise not_owner from error

    def _result(self, batch: messages.SubQueryBatch) -> BatchResult:
        try:
            return BatchResult(batch, self.run(batch))
        except errors.CorianderportError as error:
            return BatchResult(batch, error)
