"""corianderport_testkit.process.action_links

Simulated connections from hosts to searchers and peers, with faults.
"""

import collections.abc
import enum
import typing

import attrs

from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import handed_over
from corianderport_tier.process import membership
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_wire import faults

if typing.TYPE_CHECKING:
    from corianderport_testkit.process import action_hosts

__all__ = [
    'PEER_FAULTS',
    'SEARCHER_FAULTS',
    'Fault',
    'PeerDialer',
    'SearcherDialer',
    'SendStage',
]

T = typing.TypeVar('T')


class Fault(enum.Enum):
    """Fault injected into the delivery of one message."""

    NONE = 'none'
    NO_CONNECTION = 'no connection'
    REFUSED = 'refused'
    PAUSED = 'sender paused before sending'
    CUT_BEFORE = 'cut before it was acted on'
    CUT_AFTER = 'cut after it was acted on'
    LATE_ANSWER = 'answer after the timeout'
    LATE_DELIVERY = 'delivered after the timeout'
    LOST = 'never delivered, connection silent'
    KILLED = 'receiver killed after it acted'


_FAULTS = frozenset(Fault) - {Fault.NONE}
# Faults after which a host tries another searcher have four times the weight
# of the others.
SEARCHER_FAULTS = (
    *(f for f in Fault if f in _FAULTS - {Fault.KILLED}),
    *(3 * (Fault.NO_CONNECTION, Fault.REFUSED)),
)
PEER_FAULTS = tuple(f for f in Fault if f in _FAULTS - {Fault.REFUSED})


class SendStage(enum.Enum):
    """Points in the sending of an action at which a test hook is called."""

    CONNECTED = 'connected, nothing sent'
    RUNNING = 'running at the searcher'


@attrs.frozen
class SearcherDialer:
    """Opens connections to simulated searchers."""

    cluster: 'action_hosts.SimulatedCluster'

    def dial(
        self, searcher: configuration.Searcher, timeout_s: float
    ) -> transports.UpstreamTransport:
        link = _SearcherLink(self.cluster)
        return typing.cast(transports.UpstreamTransport, link)


@attrs.frozen
class _SearcherLink:
    """A connection to a searcher that runs every action it receives."""

    cluster: 'action_hosts.SimulatedCluster'

    def act(
        self,
        call: messages.UpstreamAction,
        timeout_s: float,
        check: transports.SendCheck,
    ) -> messages.UpstreamActionReply | messages.UpstreamRefusal:
        fault = self.cluster.draw_fault(SEARCHER_FAULTS)
        if fault is Fault.NO_CONNECTION:
            raise errors.ConnectFailed(fault.value)
        if fault is Fault.PAUSED:
            self.cluster.pause_sender()
        self.cluster.notify_stage(SendStage.CONNECTED)
        check()
        if fault is Fault.REFUSED:
            return messages.UpstreamRefusal(messages.RefusalReason.SHED)
        return self.cluster.deliver(
            fault, lambda: self._run(call), timeout_s, lambda: None
        )

    def close(self) -> None:
        pass

    def _run(
        self, call: messages.UpstreamAction
    ) -> messages.UpstreamActionReply:
        self.cluster.record_run(call.payload)
        self.cluster.notify_stage(SendStage.RUNNING)
        return messages.UpstreamActionReply(
            call.request_id, call.attempt_id, True, f'ran {call.payload}'
        )


@attrs.frozen
class PeerDialer:
    """Opens connections to the other hosts."""

    cluster: 'action_hosts.SimulatedCluster'

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> transports.PeerTransport:
        host = self.cluster.find_host(member.peer_address)
        fault = self.cluster.draw_fault(PEER_FAULTS)
        if fault is Fault.NO_CONNECTION:
            raise errors.ConnectFailed(fault.value)
        link = _PeerLink(self.cluster, host, fault)
        return typing.cast(transports.PeerTransport, link)


@attrs.frozen
class _PeerLink:
    """A connection to another host.

    As on the wire, deadlines are sent as the remaining duration.
    """

    cluster: 'action_hosts.SimulatedCluster'
    host: 'action_hosts.ActionHost'
    fault: Fault

    def act_with_ticket(
        self, request: messages.ActionRequest, timeout_s: float
    ) -> messages.ActionAnswer:
        remaining_s = request.deadline.remaining(self.cluster.clock)

        def serve() -> messages.ActionAnswer:
            return self.host.serve_act_with_ticket(
                self._with_local_deadline(request, remaining_s)
            )

        return self._deliver(serve, timeout_s)

    def hand_over(self, part: handed_over.HandOver, timeout_s: float) -> None:
        self._deliver(lambda: self.host.serve_hand_over(part), timeout_s)

    def close(self) -> None:
        pass

    def _with_local_deadline(
        self, request: messages.ActionRequest, remaining_s: float
    ) -> messages.ActionRequest:
        deadline = deadlines.Deadline.after(self.cluster.clock, remaining_s)
        return attrs.evolve(request, deadline=deadline)

    def _deliver(
        self, act: collections.abc.Callable[[], T], timeout_s: float
    ) -> T:
        if self.fault is Fault.PAUSED:
            self.cluster.pause_sender()

        def serve() -> T:
            if not self.host.alive:
                raise errors.ConnectionBroken('host has stopped')
            try:
                return act()
            except errors.CorianderportError as error:
                raise faults.from_code(error.code, str(error)) from error

        return self.cluster.deliver(
            self.fault, serve, timeout_s, self.host.kill
        )
