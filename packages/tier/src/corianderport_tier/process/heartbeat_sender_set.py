"""corianderport_tier.process.heartbeat_sender_set

The hosts that this host exchanges heartbeats with, one task for each.
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
    """Starts and closes contacts as the wanted hosts change.

    :param neighbour_period_s: seconds after which random neighbours change.
    :param failed: called after a host could not be reached.
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
        failed: collections.abc.Callable[[], None],
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
        self._failed = failed
        self._senders: dict[
            tuple[str, str], heartbeat_sender.HeartbeatSender
        ] = {}
        self._chosen: list[membership.Member] = []
        self._chosen_epoch = -1
        self._chosen_s = float('-inf')

    @property
    def active(self) -> tuple[heartbeat_sender.HeartbeatSender, ...]:
        """The contacts that are kept."""
        return tuple(self._senders.values())

    def neighbours(self) -> list[membership.Member]:
        """Return the neighbours in the present view."""
        view = self._members.view
        now_s = self._clock.monotonic()
        stale = now_s - self._chosen_s >= self._neighbour_period_s
        if view.epoch != self._chosen_epoch or stale:
            self._chosen_epoch = view.epoch
            self._chosen_s = now_s
            self._chosen = neighbours.choose(
                self._members.own,
                _reachable(view),
                self._region_of,
                self._rng,
            )
        return self._chosen

    def keep(
        self, wanted: collections.abc.Iterable[membership.Member]
    ) -> None:
        """Start contacts with new hosts and close those not wanted."""
        by_key = {(m.name, m.peer_address): m for m in wanted}
        for key in self._senders.keys() - by_key.keys():
            self._senders.pop(key).close()
        for key in by_key.keys() - self._senders.keys():
            sender = self._new_sender(by_key[key])
            self._senders[key] = sender
            self._executor.submit(sender.run)

    def nudge(self) -> None:
        """Send the next heartbeat to every host at once."""
        for sender in self.active:
            sender.wake()

    def close(self) -> None:
        """End all contacts."""
        for sender in self.active:
            sender.close()

    def _new_sender(
        self, member: membership.Member
    ) -> heartbeat_sender.HeartbeatSender:
        return heartbeat_sender.HeartbeatSender(
            member,
            self._exchange,
            self._members,
            self._dialer,
            self._clock,
            self._times,
            self._failed,
        )


def _reachable(view: membership.View) -> list[membership.Member]:
    return [
        m
        for m in view.members
        if view.standings[m.name] < membership.Standing.DEAD
    ]
