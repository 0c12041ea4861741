"""corianderport_tier.process.selection

Policies that choose among the searchers of a service.
"""

import collections.abc
import random
import typing

from corianderport_tier import errors
from corianderport_tier import options

__all__ = ['Candidate', 'SelectionPolicy', 'policy']


class Candidate(typing.Protocol):
    """What a policy may know of a searcher."""

    @property
    def name(self) -> str:
        """Name of the searcher."""

    @property
    def in_flight(self) -> int:
        """Requests at the searcher now."""

    @property
    def latency_s(self) -> float:
        """Observed latency, seconds; 0 when nothing was observed."""


C = typing.TypeVar('C', bound=Candidate)


class SelectionPolicy(typing.Protocol):
    """Chooses one of several searchers that have room."""

    def choose(
        self, candidates: collections.abc.Sequence[C], rng: random.Random
    ) -> C:
        """Return one of the candidates, of which there is at least one."""


class PowerOfTwo:
    """The less loaded of two random candidates.

    Load is the expected wait: requests in flight plus one, times the
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
    """Any candidate, with equal probability."""

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
    """Return the policy of that name.

    :raises SettingInvalid: there is none.
    """
    options.choice('selection', name, _POLICIES, errors.SettingInvalid)
    return _POLICIES[name]()
