"""corianderport_tier.process.selection

Load balancing policies for the searchers of a service.
"""

import collections.abc
import random
import typing

from corianderport_tier import errors
from corianderport_tier import options

__all__ = ['Candidate', 'SelectionPolicy', 'policy']


class Candidate(typing.Protocol):
    """Properties of a searcher that a policy may use."""

    @property
    def name(self) -> str:
        """Name of the searcher."""

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""

    @property
    def latency_s(self) -> float:
        """Observed latency in seconds; 0 without a sample."""


C = typing.TypeVar('C', bound=Candidate)


class SelectionPolicy(typing.Protocol):
    """Chooses one of several searchers with free capacity."""

    def choose(
        self, candidates: collections.abc.Sequence[C], rng: random.Random
    ) -> C:
        """Return one of the candidates; there is at least one."""


class PowerOfTwo:
    """Chooses the less loaded of two random candidates.

    The load is the expected wait: requests in flight plus one, times the
    observed latency.
    """

    def choose(
        self, candidates: collections.abc.Sequence[C], rng: random.Random
    ) -> C:
        """Return the candidate with the shorter expected wait."""
        if len(candidates) == 1:
            return candidates[0]
        pair = rng.sample(range(len(candidates)), 2)
        return min(
            (candidates[i] for i in pair),
            key=lambda c: (c.in_flight + 1) * max(c.latency_s, 1e-6),
        )


class RandomChoice:
    """Chooses uniformly at random."""

    def choose(
        self, candidates: collections.abc.Sequence[C], rng: random.Random
    ) -> C:
        """Return a random candidate."""
        return rng.choice(candidates)


_POLICIES: dict[str, type[SelectionPolicy]] = {
    'power-of-two': PowerOfTwo,
    'random': RandomChoice,
}


def policy(name: str) -> SelectionPolicy:
    """Return the policy with this name.

    :raises SettingInvalid: no policy has this name.
    """
    options.choice('selection', name, _POLICIES, errors.SettingInvalid)
    return _POLICIES[name]()
