"""corianderport_tier.process.gossip

Finds the other hosts by seed addresses and keeps in touch with some.

One task for each host that gets heartbeats, and one that looks after them.
"""

import collections.abc
import concurrent.futures
import logging
import random

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.process import heartbeat_sender
from corianderport_tier.process import heartbeat_sender_set
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import periodic_task

__all__ = ['Gossip', 'GossipTimes']

_LOG = logging.getLogger(__name__)
_SEED = 'seed'
_MOST_NAMED = 8


@attrs.frozen
class GossipTimes:
    """Timing in seconds.

    ``join_s`` bounds the time for which a start waits for the seeds.
    They are asked again after ``first_seeds_s`` until one has answered,
    since hosts start in any order, and then after ``seeds_s``, so that
    two halves of a fleet that lost each other meet again.
    """

    heartbeat: heartbeat_sender.HeartbeatTimes = (
        heartbeat_sender.HeartbeatTimes()
    )
    random_s: float = 20.0
    join_s: float = 1.5
    first_seeds_s: float = 0.2
    seeds_s: float = 5.0
    # A silent host may be sending still; it is counted for this long.
    forget_s: float = 120.0


class Gossip(periodic_task.PeriodicTask):
    """Keeps the membership up to date while it runs.

    :param seeds: peer addresses of hosts that may be down or gone.
    :param changed: called after the number of hosts has changed.
    """

    def __init__(
        self,
        members: membership.Membership,
        exchange: heartbeats.HeartbeatExchange,
        dialer: transports.PeerDialer,
        region_of: membership.RegionOf,
        seeds: collections.abc.Sequence[str],
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        times: GossipTimes,
        rng: random.Random,
        changed: collections.abc.Callable[[], None],
    ) -> None:
        super().__init__(clock)
        self._members = members
        self._exchange = exchange
        self._dialer = dialer
        self._seeds = seeds
        self._executor = executor
        self._times = times
        self._changed = changed
        self._started_s = clock.monotonic()
        self._seeds_asked_s = float('-inf')
        self._seeds_answered = 0
        self._senders = heartbeat_sender_set.HeartbeatSenderSet(
            members,
            region_of,
            exchange,
            dialer,
            executor,
            clock,
            times.heartbeat,
            times.random_s,
            rng,
            self.wake,
        )
        self._silent_since_s: dict[str, float] = {}
        self._hosts: tuple[str, ...] = (members.own.name,)

    @property
    def joined(self) -> bool:
        """Whether seeds have answered, or were given time to."""
        waited_s = self._clock.monotonic() - self._started_s
        others = [s for s in self._seeds if s != self._own_address]
        return (
            self._seeds_answered >= len(others)
            or waited_s >= self._times.join_s
        )

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the hosts that may be sending, this one included.

        A host that does not answer may be cut off from this one only.
        """
        return self._hosts

    def step(self) -> float:
        """Bring suspicions, contacts and the number of hosts up to date."""
        self._members.step()
        self._ask_seeds()
        self._senders.keep(self._senders.neighbours())
        self._count()
        return min(self._seeds_period_s, self._times.heartbeat.period_s)

    def leave(self) -> None:
        """Tell the others that this host sends nothing more."""
        self._members.leave()
        self._senders.nudge()

    def _ended(self) -> None:
        self._senders.close()

    @property
    def _seeds_period_s(self) -> float:
        first = self._seeds_answered == 0
        return self._times.first_seeds_s if first else self._times.seeds_s

    @property
    def _own_address(self) -> str:
        return self._members.own.peer_address

    def _ask_seeds(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._seeds_asked_s < self._seeds_period_s:
            return
        self._seeds_asked_s = now_s
        known = {
            m.peer_address
            for m in self._members.members()
            if self._members.standing(m) is membership.Standing.ALIVE
        }
        for address in self._seeds:
            if address not in known and address != self._own_address:
                self._executor.submit(self._ask_seed, address)

    def _ask_seed(self, address: str) -> None:
        """Exchange heartbeats with whichever host has the address."""
        asked = membership.Member(_SEED, '', address)
        sent_s = self._clock.monotonic()
        try:
            transport = self._dialer.dial(
                asked, self._times.heartbeat.timeout_s
            )
            try:
                reply = transport.heartbeat(
                    self._exchange.message(asked, joining=True),
                    self._times.heartbeat.timeout_s,
                )
            finally:
                transport.close()
        except errors.CorianderportError as error:
            _LOG.info('seed %s does not answer: %s', address, error)
            return
        self._exchange.replied(reply, sent_s)
        self._seeds_answered += 1
        self.wake()

    def _count(self) -> None:
        view = self._members.view
        now_s = self._clock.monotonic()
        found = []
        for member in view.members:
            standing = view.standings[member.name]
            if standing is not membership.Standing.DEAD:
                self._silent_since_s.pop(member.name, None)
            if member.state is membership.MemberState.LEAVING:
                continue
            if standing is membership.Standing.GONE:
                continue
            if standing is membership.Standing.DEAD:
                since_s = self._silent_since_s.setdefault(member.name, now_s)
                if now_s - since_s >= self._times.forget_s:
                    continue
            found.append(member.name)
        hosts = tuple(found)
        if hosts != self._hosts:
            added = sorted(set(hosts) - set(self._hosts))
            gone = sorted(set(self._hosts) - set(hosts))
            _LOG.info(
                'hosts that may be sending: %d, added %s, gone %s',
                len(hosts),
                _some(added),
                _some(gone),
            )
            self._hosts = hosts
            self._changed()


def _some(names: list[str]) -> str:
    """Name the first hosts of a list, for a log line of bounded length."""
    named = ', '.join(names[:_MOST_NAMED]) or 'none'
    more = len(names) - _MOST_NAMED
    return f'{named} and {more} more' if more > 0 else named
