"""corianderport_tier.process.control

The task that keeps this host's contacts, view and ownership up to date.
"""

import collections.abc
import concurrent.futures
import random
import threading

import attrs

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier.process import contact_set
from corianderport_tier.process import contacts
from corianderport_tier.process import heartbeats
from corianderport_tier.process import leases
from corianderport_tier.process import membership
from corianderport_tier.process import ownership

__all__ = ['Control', 'ControlTimes']

_URGENT_PERIOD_S = 0.05


@attrs.frozen
class ControlTimes:
    """Timing of the control task, in seconds."""

    contact: contacts.ContactTimes = contacts.ContactTimes()
    # The random contacts are chosen anew after this time.
    random_s: float = 20.0


class Control:
    """Runs one task for each contact and one that looks after them."""

    def __init__(
        self,
        members: membership.Membership,
        held: leases.Leases,
        owners: ownership.OwnershipTable,
        exchange: heartbeats.HeartbeatExchange,
        dialer: transports.PeerDialer,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
        times: ControlTimes,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._leases = held
        self._owners = owners
        self._exchange = exchange
        self._dialer = dialer
        self._executor = executor
        self._clock = clock
        self._times = times
        self._rng = rng
        self._condition = threading.Condition()
        self._closed = False
        self._nudged = False
        self._knew_list = False
        self._urgent = False
        self._contacts = contact_set.ContactSet(
            members,
            owners.region_of,
            self._contact,
            executor,
            clock,
            times.random_s,
            rng,
        )

    @property
    def active(self) -> tuple[contacts.Contact, ...]:
        """The hosts that get heartbeats."""
        return self._contacts.active

    @property
    def joined(self) -> bool:
        """Whether all first contacts have been asked."""
        return self._knew_list and all(c.tried for c in self.active)

    @property
    def _pause_s(self) -> float:
        period_s = self._times.contact.period_s
        return min(_URGENT_PERIOD_S, period_s) if self._urgent else period_s

    def run(self) -> None:
        """Step until closed."""
        while not self._closed:
            self.step()
            with self._condition:
                if not self._nudged and not self._closed:
                    self._clock.wait(self._condition, self._pause_s)
                self._nudged = False
        self._contacts.close()

    def step(self) -> None:
        """Bring suspicions, ownership and contacts up to date."""
        self._members.step()
        self._leases.update(self._owners.ownership())
        list_known = self._members.list_known
        self._contacts.keep(self._wanted())
        self._hurry()
        self._knew_list = list_known

    def version_changed(self) -> None:
        """Take over a new version and tell all contacts of it at once."""
        self._contacts.nudge()
        self.wake()
        self._contacts.nudge()

    def wake(self) -> None:
        """Step at once, for example after a change of the host list."""
        with self._condition:
            self._nudged = True
            self._condition.notify_all()

    def probe(self, member: membership.Member) -> None:
        """Check at once whether a host is reachable, on a task."""
        self._executor.submit(self._contact(member).probe)

    def close(self) -> None:
        """End all tasks."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def _hurry(self) -> None:
        """Talk at once to the hosts that a change of owners waits for."""
        urgent = self._leases.urgent()
        self._urgent = bool(urgent)
        for contact in self.active:
            if contact.member.name in urgent:
                contact.nudge()

    def _wanted(self) -> collections.abc.Iterable[membership.Member]:
        view = self._members.view
        grantors = self._leases.grantors()
        return [
            *self._contacts.neighbours(),
            *(m for m in view.live if m.name in grantors),
            *self._retried(view),
        ]

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
        turn = int(self._clock.monotonic() / self._times.contact.period_s)
        return (dead[turn // 2 % len(dead)],)

    def _contact(self, member: membership.Member) -> contacts.Contact:
        return contacts.Contact(
            member,
            self._exchange,
            self._members,
            self._dialer,
            self._clock,
            self._times.contact,
            self.wake,
        )
