"""corianderport_tier.process.heartbeat_sender_set

Manages one heartbeat sender for each host that gets heartbeats.
"""

import collections.abc
import concurrent.futures
import random

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier.process import heartbeat_sender
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import neighbours

__all__ = ['HeartbeatSenderSet']


class HeartbeatSenderSet:
    """Starts and closes heartbeat senders as their receivers change.

    :param neighbour_period_s: seconds after which random neighbours change.
    :param on_failure: called after a host could not be reached.
    """

    def __init__(
        self,
        members: membership.Membership,
        region_of: membership.RegionOf,
        exchange: heartbeats.HeartbeatExchange,
        dialer: transports.PeerDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        times: heartbeat_sender.HeartbeatTimes,
        neighbour_period_s: float,
        rng: random.Random,
        on_failure: collections.abc.Callable[[], None],
    ) -> None:
        self._members = members
        self._region_of = region_of
        self._exchange = exchange
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self._times = times
        self._neighbour_period_s = neighbour_period_s
        self._rng = rng
        self._on_failure = on_failure
        self._senders: dict[
            tuple[str, str], heartbeat_sender.HeartbeatSender
        ] = {}
        self._neighbours: list[membership.Member] = []
        self._neighbours_epoch = -1
        self._neighbours_chosen_s = float('-inf')

    @property
    def active(self) -> tuple[heartbeat_sender.HeartbeatSender, ...]:
        """The running heartbeat senders."""
        return tuple(self._senders.values())

    def neighbours(self) -> list[membership.Member]:
        """Return this host's neighbours in the current view."""
        view = self._members.view
        now_s = self._clock.monotonic()
        period_ended = (
            now_s - self._neighbours_chosen_s >= self._neighbour_period_s
        )
        if view.epoch != self._neighbours_epoch or period_ended:
            self._neighbours_epoch = view.epoch
            self._neighbours_chosen_s = now_s
            self._neighbours = neighbours.choose(
                self._members.own,
                _reachable(view),
                self._region_of,
                self._rng,
            )
        return self._neighbours

    def update(
        self, members: collections.abc.Iterable[membership.Member]
    ) -> None:
        """Start senders for new hosts and close those of other hosts."""
        by_key = {(m.name, m.peer_address): m for m in members}
        for key in self._senders.keys() - by_key.keys():
            self._senders.pop(key).close()
        for key in by_key.keys() - self._senders.keys():
            sender = self._create_sender(by_key[key])
            self._senders[key] = sender
            self._executor.submit(sender.run)

    def send_now(self) -> None:
        """Send the next heartbeat to every host without delay."""
        for sender in self.active:
            sender.wake()

    def close(self) -> None:
        """Close all senders."""
        for sender in self.active:
            sender.close()

    def _create_sender(
        self, member: membership.Member
    ) -> heartbeat_sender.HeartbeatSender:
        return heartbeat_sender.HeartbeatSender(
            member,
            self._exchange,
            self._members,
            self._dialer,
            self._clock,
            self._times,
            self._on_failure,
        )


def _reachable(view: membership.View) -> list[membership.Member]:
    return [
        m
        for m in view.members
        if view.standings[m.name] < membership.Standing.DEAD
    ]
