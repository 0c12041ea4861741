"""corianderport_tier.process.seed_contacts

Decides whether a starting host knows all others that have started.
"""

import collections.abc
import concurrent.futures

from corianderport_tier import clocks
from corianderport_tier.process import seed_contact

__all__ = ['MAX_SEEDS', 'SeedContacts']

# With more seeds, the first ones in the order of their addresses are asked,
# which are the same on all hosts.
MAX_SEEDS = 5

Contacts = collections.abc.Sequence[seed_contact.SeedContact]


class SeedContacts:
    """Contacts to the seeds while this host is starting.

    Of two hosts that both rely on a majority of the seeds, at least one knows
    the other: each waits until a majority has known it for ``LEASE_S``, and
    relies on no older replies of a majority. Both majorities have a seed in
    common.

    :param own_seed: whether this host is one of the seeds.
    :param starting_s: time after which the contacts end.
    """

    def __init__(
        self,
        contacts: Contacts,
        own_seed: bool,
        starting_s: float,
        executor: concurrent.futures.Executor,
        clock: clocks.Clock,
    ) -> None:
        self._contacts = contacts
        self._own_seed = own_seed
        self._executor = executor
        self._clock = clock
        self._started_s = clock.boottime()
        self._starting_s = starting_s
        self._running = False
        # Times until which what each seed knew has been applied. Tasks read
        # them without a lock, so they are replaced as a whole.
        self._applied: tuple[float, ...] = ()

    def step(self) -> None:
        """Start the contacts, and end them when the host is no longer new."""
        starting = self._clock.boottime() - self._started_s < self._starting_s
        if starting and not self._running:
            self._running = True
            for contact in self._contacts:
                self._executor.submit(contact.run)
        elif not starting and self._running:
            self._running = False
            self.close()

    def current(self) -> tuple[float, ...]:
        """Return the times until which what each seed knew is known."""
        times = [contact.current_s for contact in self._contacts]
        if self._own_seed:
            now_s = self._clock.boottime()
            lasted = now_s - self._started_s >= seed_contact.LEASE_S
            times.append(now_s if lasted else float('-inf'))
        return tuple(times)

    def apply(self, current: tuple[float, ...]) -> None:
        """Note that what was known at these times is in use."""
        self._applied = current

    @property
    def confirmed(self) -> bool:
        """Whether a majority of the seeds has been asked just now."""
        applied = self._applied
        oldest_s = self._clock.boottime() - seed_contact.LEASE_S
        recent = sum(current_s > oldest_s for current_s in applied)
        return 2 * recent > len(applied)

    @property
    def confirmed_in_s(self) -> float:
        """Time after which ``confirmed`` may be true, 0 if it is."""
        if self.confirmed:
            return 0.0
        times = [contact.current_in_s for contact in self._contacts]
        if self._own_seed:
            age_s = self._clock.boottime() - self._started_s
            times.append(max(0.0, seed_contact.LEASE_S - age_s))
        times.sort()
        return times[len(times) // 2] if times else self._starting_s

    def close(self) -> None:
        """End the contacts."""
        for contact in self._contacts:
            contact.close()
