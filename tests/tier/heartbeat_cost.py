"""Bytes of heartbeats: ``python -m tests.tier.heartbeat_cost [HOSTS...]``.

Each host runs the real gossip task and membership on simulated time. The sizes
are those of the messages in the encoding between hosts, without TCP and IP.
"""

import collections
import statistics
import sys

import attrs

from corianderport_tier.process import heartbeats
from corianderport_tier.process import link_bytes
from corianderport_tier.process import membership
from corianderport_wire.connection import peer_authentication

from . import restart_network

__all__ = ['Cost', 'CountedNetwork', 'message_bytes', 'run']

_HOSTS = (6, 80, 195, 1_000)
# After the queries with which a started host makes itself known.
_SETTLE_S = 12.0
# Random neighbours are replaced twice.
_STEADY_S = 40.0
_JOIN_S = 10.0
_LOSS_S = 15.0
_LOST = 'dc-2'

# Sizes in the binary protocol of Thrift: type and identifier of a field, the
# length of a string, the end of a structure, the head of a list.
_FIELD = 3
_STRING = _FIELD + 4
_I32 = _FIELD + 4
_I64 = _FIELD + 8
_BOOL = _FIELD + 1
_STOP = 1
_LIST = _FIELD + 5
_RUMOUR = 5 * _STRING + _I32 + _I64 + _STOP
# Length of the frame, head of the message, and the structure of the arguments
# or of the result, with one field.
_ENVELOPE = 4 + 4 + 4 + len('heartbeat') + 4 + _FIELD + _STOP
_AUTHENTICATION = (
    peer_authentication.CLIENT_BYTES + peer_authentication.SERVER_BYTES
)


def _rumour_bytes(rumour: membership.Rumour) -> int:
    member = rumour.member
    return _RUMOUR + sum(
        map(
            len,
            (
                member.name,
                member.data_centre,
                member.peer_address,
                member.state.value,
                member.incarnation,
            ),
        )
    )


def message_bytes(message: heartbeats.Heartbeat) -> int:
    """Return the size of a heartbeat or reply with ASCII names."""
    size = _ENVELOPE + _FIELD + _rumour_bytes(message.sender) + _I64 + _STOP
    if message.rumours:
        size += _LIST + sum(map(_rumour_bytes, message.rumours))
    size += _BOOL if message.joining else 0
    size += _I64 if message.known_change is not None else 0
    size += _I64 if message.last_change is not None else 0
    return size


@attrs.define
class _Counts:
    """Bytes and messages that one host sent or received, by kind."""

    bytes: collections.Counter[link_bytes.LinkKind] = attrs.Factory(
        collections.Counter
    )
    messages: collections.Counter[link_bytes.LinkKind] = attrs.Factory(
        collections.Counter
    )
    # Of the bytes, those to or from other data centres, and those of calls
    # whose reply has all rumours.
    other_bytes: int = 0
    joining_bytes: int = 0


class CountedNetwork(restart_network.Network):
    """Counts what each host sends and receives."""

    def __init__(self, hosts: int, seed: int = 1) -> None:
        super().__init__(hosts, seed, ())
        self.counts: dict[str, _Counts] = {}
        self.bytes_by_second: collections.Counter[int]
        self.reset()

    def reset(self) -> None:
        """Forget what was counted."""
        self.counts = collections.defaultdict(_Counts)
        self.bytes_by_second = collections.Counter()

    def connected(
        self, sender: restart_network.Host, other: restart_network.Host
    ) -> None:
        """Count an authentication."""
        messages = 2 * peer_authentication.MESSAGES
        kind = link_bytes.LinkKind.OTHER_PEER
        self._count(sender, other, kind, _AUTHENTICATION, messages, False)

    def exchanged(
        self,
        sender: restart_network.Host,
        other: restart_network.Host,
        message: heartbeats.Heartbeat,
        reply: heartbeats.Heartbeat,
    ) -> None:
        """Count a heartbeat and its reply."""
        super().exchanged(sender, other, message, reply)
        size = message_bytes(message) + message_bytes(reply)
        kind = link_bytes.LinkKind.HEARTBEAT
        self._count(sender, other, kind, size, 2, message.joining)

    def start_known(self, hosts: list[restart_network.Host]) -> None:
        """Start hosts that know each other and have no rumours to send."""
        for host in hosts:
            self.start(host)
        processes = [host.process for host in hosts if host.process]
        for process in processes:
            for other in processes:
                process.members.apply(other.members.own_rumour)
            process.members._queue._sends.clear()

    def _count(
        self,
        sender: restart_network.Host,
        other: restart_network.Host,
        kind: link_bytes.LinkKind,
        size: int,
        messages: int,
        joining: bool,
    ) -> None:
        for host in (sender, other):
            counts = self.counts[host.name]
            counts.bytes[kind] += size
            counts.messages[kind] += messages
            if sender.data_centre != other.data_centre:
                counts.other_bytes += size
            if joining:
                counts.joining_bytes += size
        self.bytes_by_second[int(self.now_s)] += 2 * size


@attrs.frozen
class Cost:
    """Means of the live hosts in a phase, sent and received together.

    ``worst_host`` is the host with most bytes, ``worst_second`` the mean of
    the hosts in the second with most bytes; all in bytes a second.
    """

    phase: str
    heartbeat: float
    authentication: float
    other_centres: float
    joining: float
    worst_host: float
    worst_second: float
    heartbeats: float
    authentications: float


def _cost(phase: str, network: CountedNetwork, seconds: float) -> Cost:
    live = [h.name for h in network.hosts.values() if h.process is not None]
    counts = [network.counts[name] for name in live]
    heartbeat = link_bytes.LinkKind.HEARTBEAT
    other_peer = link_bytes.LinkKind.OTHER_PEER

    def mean(values: list[int]) -> float:
        return statistics.fmean(values) / seconds

    return Cost(
        phase,
        mean([c.bytes[heartbeat] for c in counts]),
        mean([c.bytes[other_peer] for c in counts]),
        mean([c.other_bytes for c in counts]),
        mean([c.joining_bytes for c in counts]),
        max(c.bytes.total() for c in counts) / seconds,
        max(network.bytes_by_second.values()) / len(live),
        mean([c.messages[heartbeat] for c in counts]),
        mean([c.messages[other_peer] for c in counts]),
    )


def _phase(network: CountedNetwork, name: str, seconds: float) -> Cost:
    network.reset()
    network.advance(seconds)
    return _cost(name, network, seconds)


def run(hosts: int, seed: int = 1) -> list[Cost]:
    """Return the cost of each phase."""
    network = CountedNetwork(hosts + 1, seed)
    *started, joining = network.hosts.values()
    network.start_known(started)
    network.advance(_SETTLE_S)
    costs = [_phase(network, 'steady', _STEADY_S)]
    network.start(joining)
    costs.append(_phase(network, 'one joins', _JOIN_S))
    network.advance(_SETTLE_S)
    for host in network.hosts.values():
        if host.data_centre == _LOST:
            network.stop(host, off=True)
    costs.append(_phase(network, 'a third lost', _LOSS_S))
    return costs


def main() -> None:
    """Print a row of a table for each phase and number of hosts."""
    print(
        '| hosts | phase | heartbeat B/s | authentication B/s '
        '| of all to other data centres | of all with all rumours '
        '| worst host B/s | worst second B/s | heartbeats/s '
        '| authentication messages/s |'
    )
    print('|' + ' --- |' * 10)
    for hosts in map(int, sys.argv[1:] or _HOSTS):
        for cost in run(hosts):
            total = cost.heartbeat + cost.authentication
            print(
                f'| {hosts} | {cost.phase} | {cost.heartbeat:,.0f} '
                f'| {cost.authentication:,.0f} '
                f'| {cost.other_centres / total:.0%} '
                f'| {cost.joining / total:.0%} | {cost.worst_host:,.0f} '
                f'| {cost.worst_second:,.0f} | {cost.heartbeats:.1f} '
                f'| {cost.authentications:.1f} |',
                flush=True,
            )


if __name__ == '__main__':
    main()
