"""corianderport_tier.process.membership_task

The task that keeps this host's contacts and its view of others up to date.
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
    """Timing of the control task, in seconds."""

    heartbeat: heartbeat_sender.HeartbeatTimes = (
        heartbeat_sender.HeartbeatTimes()
    )
    # The random neighbours are replaced after this time.
    neighbour_period_s: float = 20.0


class MembershipTask(periodic_task.PeriodicTask):
    """Runs one heartbeat task for each peer, and starts and ends these."""

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
        self._knew_list = False
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
        """The hosts that get heartbeats."""
        return self._senders.active

    @property
    def joined(self) -> bool:
        """Whether all first contacts have been asked."""
        return self._knew_list and all(c.attempted for c in self.active)

    def step(self) -> float:
        """Bring suspicions and contacts up to date."""
        self._members.step()
        list_known = self._members.list_known
        self._senders.update(self._wanted())
        self._knew_list = list_known
        return self._times.heartbeat.period_s

    def version_changed(self) -> None:
        """Tell all contacts of a new version at once."""
        self._senders.send_now()
        self.wake()

    def _ended(self) -> None:
        self._senders.close()

    def _wanted(self) -> collections.abc.Iterable[membership.Member]:
        view = self._members.view
        return [*self._senders.neighbours(), *self._retried(view)]

    def _retried(
        self, view: membership.View
    ) -> collections.abc.Iterable[membership.Member]:
        """Choose one dead host to try again, so that partitions heal."""
        dead = [
            m
            for m in view.members
            if view.standings[m.name] is membership.Standing.DEAD
        ]
        if not dead:
            return ()
        turn = int(self._clock.monotonic() / self._times.heartbeat.period_s)
        return (dead[turn // 2 % len(dead)],)
