"""corianderport_tier.process.gossip

Discovers hosts through seed addresses and sends heartbeats to neighbours.

One task runs for each host that gets heartbeats, and one manages these tasks.
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
from corianderport_tier.process import seed_contact
from corianderport_tier.process import seed_contacts

__all__ = ['Gossip', 'GossipTimes']

_LOG = logging.getLogger(__name__)
# Name of a host of which only the seed address is known.
_UNKNOWN_NAME = 'seed'
_MAX_NAMES_LOGGED = 8


@attrs.frozen
class GossipTimes:
    """Timing of the gossip task in seconds.

    ``join_timeout_s`` limits how long a starting host waits for the seeds.
    Seeds are contacted every ``first_seed_period_s`` until one has
    answered, since hosts start in any order, and then every
    ``seed_period_s``, so that separated partitions find each other again.
    Random neighbours are replaced after ``neighbour_period_s``. For the
    first ``starting_s`` the host asks the seeds so often that it knows at
    once of all hosts that have started.
    """

    heartbeat: heartbeat_sender.HeartbeatTimes = (
        heartbeat_sender.HeartbeatTimes()
    )
    neighbour_period_s: float = 20.0
    join_timeout_s: float = 1.5
    first_seed_period_s: float = 0.2
    seed_period_s: float = 5.0
    # An unreachable host may still be sending to searchers, so it is
    # counted for this time.
    dead_host_retention_s: float = 120.0
    starting_s: float = 0.0


class Gossip(periodic_task.PeriodicTask):
    """Keeps the membership up to date while it runs.

    :param seeds: peer addresses of hosts, which need not be running.
    :param on_change: called after the number of hosts has changed.
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
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        super().__init__(clock)
        self._members = members
        self._exchange = exchange
        self._dialer = dialer
        self._seeds = seeds
        self._executor = executor
        self._times = times
        self._on_change = on_change
        self._started_s = clock.monotonic()
        self._seeds_contacted_s = float('-inf')
        # Addresses of seeds that have answered. A seed may announce another
        # address than this one.
        self._answered_seeds: set[str] = set()
        # Addresses at which no process listened when last tried.
        self._refused_seeds: set[str] = set()
        self._contacts = self._new_contacts()
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
        self._dead_since_s: dict[str, float] = {}
        self._hosts: tuple[str, ...] = (members.own.name,)

    @property
    def joined(self) -> bool:
        """Whether the seeds have answered or the join has timed out."""
        waited_s = self._clock.monotonic() - self._started_s
        return (
            len(self._answered_seeds) >= len(self._other_seeds)
            or waited_s >= self._times.join_timeout_s
        )

    @property
    def known_seeds(self) -> float:
        """Fraction of the other seeds that are known, or known not to run.

        If it is small, this host may have started while it was cut off from
        most hosts, and no heartbeat has told it of them. So may one that has
        found no host because no seed runs yet, unless it is a seed itself.
        """
        known = {m.peer_address for m in self._members.members()}
        known |= self._answered_seeds
        seeds = self._other_seeds
        if len(known) == 1 and seeds and self._own_address not in self._seeds:
            return 0.0
        known |= self._refused_seeds
        return sum(s in known for s in seeds) / len(seeds) if seeds else 1.0

    @property
    def confirmed(self) -> bool:
        """Whether ``hosts`` has all hosts that also rely on being known.

        Only possible during the first ``GossipTimes.starting_s``.
        """
        return self._contacts.confirmed

    @property
    def confirmed_in_s(self) -> float:
        """Time after which ``confirmed`` may be true, 0 if it is."""
        return self._contacts.confirmed_in_s

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the hosts that may be sending, including this one.

        An unreachable host is included for some time, since it may be
        disconnected from this host only.
        """
        return self._hosts

    def step(self) -> float:
        """Update suspicions, neighbours and the number of hosts."""
        self._members.step()
        self._contacts.step()
        self._ask_seeds()
        self._senders.update(self._senders.neighbours())
        self._update_hosts()
        return min(self._seed_period_s, self._times.heartbeat.period_s)

    def leave(self) -> None:
        """Announce to the other hosts that this host is leaving."""
        self._members.leave()
        self._senders.send_now()

    def _release_resources(self) -> None:
        self._contacts.close()
        self._senders.close()

    @property
    def _seed_period_s(self) -> float:
        no_seed_answered = not self._answered_seeds
        return (
            self._times.first_seed_period_s
            if no_seed_answered
            else self._times.seed_period_s
        )

    @property
    def _other_seeds(self) -> list[str]:
        return [s for s in self._seeds if s != self._own_address]

    @property
    def _own_address(self) -> str:
        return self._members.own.peer_address

    def _ask_seeds(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._seeds_contacted_s < self._seed_period_s:
            return
        self._seeds_contacted_s = now_s
        alive_addresses = {
            m.peer_address
            for m in self._members.members()
            if self._members.standing(m) is membership.Standing.ALIVE
        }
        for address in self._seeds:
            if address not in alive_addresses and address != self._own_address:
                self._executor.submit(self._ask_seed, address)

    def _ask_seed(self, address: str) -> None:
        """Exchange heartbeats with the host at a seed address."""
        seed = membership.Member(_UNKNOWN_NAME, '', address)
        sent_s = self._clock.monotonic()
        try:
            transport = self._dialer.dial(
                seed, self._times.heartbeat.timeout_s
            )
            try:
                reply = transport.heartbeat(
                    self._exchange.build(seed, joining=True),
                    self._times.heartbeat.timeout_s,
                )
            finally:
                transport.close()
        except errors.CorianderportError as error:
            _LOG.info('no heartbeat reply from seed %s: %s', address, error)
            self._on_seed_failure(address, error)
            return
        self._exchange.on_reply(reply, sent_s)
        self._on_seed_reply(address)

    def _new_contacts(self) -> seed_contacts.SeedContacts:
        seeds = sorted(self._seeds)[: seed_contacts.MAX_SEEDS]
        contacts = [
            seed_contact.SeedContact(
                address,
                self._exchange,
                self._dialer,
                self._clock,
                self._on_seed_reply,
                self._on_seed_failure,
            )
            for address in seeds
            if address != self._own_address
        ]
        return seed_contacts.SeedContacts(
            contacts,
            self._own_address in seeds,
            self._times.starting_s,
            self._executor,
            self._clock,
        )

    def _on_seed_reply(self, address: str) -> None:
        self._answered_seeds.add(address)
        self.wake()

    def _on_seed_failure(
        self, address: str, error: errors.CorianderportError
    ) -> None:
        # A host that is cut off later can't tell whether a seed that refused
        # the connection earlier runs by now.
        if isinstance(error, errors.ConnectRefused):
            self._refused_seeds.add(address)
        else:
            self._refused_seeds.discard(address)

    def _update_hosts(self) -> None:
        current = self._contacts.current()
        view = self._members.view
        now_s = self._clock.monotonic()
        sending = []
        for member in view.members:
            standing = view.standings[member.name]
            if standing is not membership.Standing.DEAD:
                self._dead_since_s.pop(member.name, None)
            if member.state is membership.MemberState.LEAVING:
                continue
            if standing is membership.Standing.GONE:
                continue
            if standing is membership.Standing.DEAD:
                dead_since_s = self._dead_since_s.setdefault(
                    member.name, now_s
                )
                if now_s - dead_since_s >= self._times.dead_host_retention_s:
                    continue
            sending.append(member.name)
        hosts = tuple(sending)
        if hosts != self._hosts:
            added = sorted(set(hosts) - set(self._hosts))
            removed = sorted(set(self._hosts) - set(hosts))
            _LOG.info(
                'hosts that may be sending: %d, added %s, gone %s',
                len(hosts),
                _abbreviate(added),
                _abbreviate(removed),
            )
            self._hosts = hosts
            self._on_change()
        self._contacts.apply(current)


def _abbreviate(names: list[str]) -> str:
    """Return the first names of a list, to limit the log line's length."""
    named = ', '.join(names[:_MAX_NAMES_LOGGED]) or 'none'
    more = len(names) - _MAX_NAMES_LOGGED
    return f'{named} and {more} more' if more > 0 else named
