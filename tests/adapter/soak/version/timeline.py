"""Generates the timeline of faults that belongs to a seed."""

import collections.abc
import random

import attrs

from . import configuration
from ..connection import proxy
from . import faults

__all__ = ['Event', 'Timeline', 'generate', 'without_faults']

_MOST_FAULTS = 4
_MOST_HOSTS = 4
_LENGTH_S = (6.0, 10.0)
_FIRST_S = 0.3
_DURATION_S = (1.0, 4.0)
# A removal has to last for longer than keys may stay in use.
_KEY_REMOVAL_S = (6.0, 7.5)
# Time for hosts to use a searcher although it was removed.
_UNLISTED_S = (5.5, 7.0)
_BEHAVIOURS = (
    'copying', 'copying', 'refusing', 'pausing', 'leaving',
    'forms', 'forms', 'malformed',
)  # fmt: skip
_CROWD = (300, 500)


@attrs.frozen
class Event:
    """A fault and the time in which it is in effect."""

    begin_s: float
    end_s: float
    fault: faults.Fault

    def __str__(self) -> str:
        return f'{self.begin_s:.2f}-{self.end_s:.2f} s {self.fault}'


@attrs.frozen
class Timeline:
    """The faults of a run."""

    seed: int
    hosts: int
    length_s: float
    events: tuple[Event, ...]

    def actions(
        self,
    ) -> list[tuple[float, collections.abc.Callable[[faults.Site], None]]]:
        """Return beginnings and ends in the order of their time."""
        actions = [(e.begin_s, e.fault.begin) for e in self.events]
        actions += [(e.end_s, e.fault.end) for e in self.events]
        return sorted(actions, key=lambda action: action[0])

    def of_kind(self, kind: type) -> list[Event]:
        """Return the events whose fault is of a kind."""
        return [e for e in self.events if isinstance(e.fault, kind)]

    def __str__(self) -> str:
        lines = [
            f'seed {self.seed}: {self.hosts} hosts, {self.length_s:.1f} s'
        ]
        return '\n  '.join([*lines, *map(str, self.events)])


def without_faults(hosts: int, length_s: float) -> Timeline:
    """Return a timeline in which nothing fails."""
    return Timeline(0, hosts, length_s, ())


def searcher_names() -> list[str]:
    """Return the names of all searchers."""
    return [
        f'i-{service}-{number}'
        for service, count in configuration.SERVICES.items()
        for number in range(count)
    ]


def generate(seed: int) -> Timeline:
    """Return the timeline of a seed; always the same for the same seed."""
    rng = random.Random(seed)
    hosts = rng.randint(2, _MOST_HOSTS)
    length_s = rng.uniform(*_LENGTH_S)
    events: list[Event] = []
    places: set[str] = set()
    for _ in range(rng.randint(1, _MOST_FAULTS)):
        fault = rng.choice(_KINDS)(rng, hosts)
        if not places.isdisjoint(fault.places):
            continue
        places.update(fault.places)
        if isinstance(fault, faults.RemoveKey):
            begin_s, duration_s = _FIRST_S, rng.uniform(*_KEY_REMOVAL_S)
        elif isinstance(fault, faults.Unlist):
            begin_s, duration_s = _FIRST_S, rng.uniform(*_UNLISTED_S)
        else:
            begin_s = rng.uniform(_FIRST_S, length_s / 2)
            duration_s = rng.uniform(*_DURATION_S)
        length_s = max(length_s, begin_s + duration_s)
        events.append(Event(begin_s, begin_s + duration_s, fault))
        if (
            isinstance(fault, faults.Unlist)
            and len(events) < _MOST_FAULTS
            and rng.random() < 0.5
        ):
            # The change comes while open connections to the store are silent.
            events.extend(_silent_store(rng, places, begin_s))
        if len(events) == _MOST_FAULTS:
            break
    events.sort(key=lambda event: event.begin_s)
    return Timeline(seed, hosts, length_s, tuple(events))


def _silent_store(
    rng: random.Random, places: set[str], until_s: float
) -> list[Event]:
    fault = faults.DisturbLink('store', proxy.Silence())
    if not places.isdisjoint(fault.places):
        return []
    places.update(fault.places)
    begin_s = until_s - 0.1
    return [Event(begin_s, begin_s + rng.uniform(*_DURATION_S), fault)]


def _effect(rng: random.Random) -> proxy.Effect:
    kind = rng.choice(('delay', 'reset', 'silence', 'silence', 'truncate'))
    if kind == 'delay':
        return proxy.Delay(seconds=rng.uniform(0.05, 0.4))
    if kind == 'reset':
        return proxy.Reset(share=rng.choice((0.0, 0.1, 0.5)))
    if kind == 'truncate':
        return proxy.Truncate(
            place=rng.choice(('head', 'body')), share=rng.choice((0.1, 0.5))
        )
    directions: list[list[proxy.Direction]] = [
        ['request'],
        ['reply'],
        ['request', 'reply'],
    ]
    return proxy.Silence(
        directions=frozenset(rng.choice(directions)),
        with_new=rng.random() < 0.5,
    )


def _searcher_link(rng: random.Random, hosts: int) -> faults.Fault:
    return faults.DisturbLink(rng.choice(searcher_names()), _effect(rng))


def _store_link(rng: random.Random, hosts: int) -> faults.Fault:
    return faults.DisturbLink('store', _effect(rng))


def _peer_link(rng: random.Random, hosts: int) -> faults.Fault:
    return faults.DisturbLink(f'peer {rng.randrange(hosts)}', _effect(rng))


def _host_signal(rng: random.Random, hosts: int) -> faults.Fault:
    kind = rng.choice((faults.Kill, faults.Pause, faults.Restart))
    return kind(rng.randrange(hosts))


def _crowd(rng: random.Random, hosts: int) -> faults.Fault:
    return faults.Crowd(rng.randrange(hosts), rng.randint(*_CROWD))


def _behave(rng: random.Random, hosts: int) -> faults.Fault:
    names = searcher_names()
    chosen = rng.sample(names, rng.randint(1, len(names)))
    return faults.Behave(tuple(chosen), rng.choice(_BEHAVIOURS))


def _unlist(rng: random.Random, hosts: int) -> faults.Fault:
    return faults.Unlist(rng.choice(searcher_names()))


def _limits(rng: random.Random, hosts: int) -> faults.Fault:
    # All are large enough for the requests of the callers.
    return faults.ChangeLimits(
        (
            ('max_header_bytes', rng.choice((8_192, 16_384))),
            ('max_body_bytes', rng.choice((65_536, 131_072))),
            ('header_timeout_ms', rng.choice((1_000, 5_000))),
            ('idle_timeout_ms', rng.choice((1_000, 5_000))),
        ),
        rng.choice((20, 120)),
    )


def _key(rng: random.Random, hosts: int) -> faults.Fault:
    return faults.RemoveKey('gamma')


def _rate(rng: random.Random, hosts: int) -> faults.Fault:
    return faults.ChangeRate('alpha', rng.choice((2.0, 30.0)))


def _routes(rng: random.Random, hosts: int) -> faults.Fault:
    return faults.ChangeRoutes(rng.choice((0.5, 3.0)))


_KINDS = (
    _searcher_link,
    _searcher_link,
    _store_link,
    _peer_link,
    _host_signal,
    _crowd,
    _behave,
    _behave,
    _unlist,
    _limits,
    _key,
    _rate,
    _routes,
)
