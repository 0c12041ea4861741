"""corianderport_tier.process.membership_task

Keeps the membership and the heartbeat senders up to date.
"""

import collections.abc
import concurrent.futures
import random

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier.process import heartbeat_sender
from corianderport_tier.process import heartbeat_sender_set
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import periodic_task

__all__ = ['MembershipTask', 'MembershipTaskTimes']


@attrs.frozen
class MembershipTaskTimes:
    """Timing of the membership task in seconds."""

    heartbeat: heartbeat_sender.HeartbeatTimes = (
        heartbeat_sender.HeartbeatTimes()
    )
    # Random neighbours are replaced after this time.
    neighbour_period_s: float = 20.0


class MembershipTask(periodic_task.PeriodicTask):
    """Updates the membership and manages the heartbeat senders.

    Heartbeats go to this host's neighbours and to one dead host at a time.
    """

    def __init__(
        self,
        members: membership.Membership,
        region_of: membership.RegionOf,
        exchange: heartbeats.HeartbeatExchange,
        dialer: transports.PeerDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        times: MembershipTaskTimes,
        rng: random.Random,
    ) -> None:
        super().__init__(clock)
        self._members = members
        self._times = times
        self._list_applied = False
        self._senders = heartbeat_sender_set.HeartbeatSenderSet(
            members,
            region_of,
            exchange,
            dialer,
            executor,
            clock,
            times.heartbeat,
            times.neighbour_period_s,
            rng,
            self.wake,
        )

    @property
    def active(self) -> tuple[heartbeat_sender.HeartbeatSender, ...]:
        """The running heartbeat senders."""
        return self._senders.active

    @property
    def joined(self) -> bool:
        """Whether the first exchange with every initial host has ended.

        False before the host list has been applied.
        """
        return self._list_applied and all(s.attempted for s in self.active)

    def step(self) -> float:
        """Update suspicions and heartbeat senders."""
        self._members.step()
        list_known = self._members.list_known
        self._senders.update(self._receivers())
        self._list_applied = list_known
        return self._times.heartbeat.period_s

    def version_changed(self) -> None:
        """Announce a new version to all receivers without delay."""
        self._senders.send_now()
        self.wake()

    def _release_resources(self) -> None:
        self._senders.close()

    def _receivers(self) -> collections.abc.Iterable[membership.Member]:
        view = self._members.view
        return [*self._senders.neighbours(), *self._dead_host_to_retry(view)]

    def _dead_host_to_retry(
        self, view: membership.View
    ) -> collections.abc.Iterable[membership.Member]:
        """Return at most one dead host to retry, so that partitions heal.

        Each dead host is chosen in turn, for two periods.
        """
        dead = [
            m
            for m in view.members
            if view.standings[m.name] is membership.Standing.DEAD
        ]
        if not dead:
            return ()
        period = int(self._clock.monotonic() / self._times.heartbeat.period_s)
        return (dead[period // 2 % len(dead)],)
