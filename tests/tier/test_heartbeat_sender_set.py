"""HeartbeatSenderSet: which hosts get heartbeats as the view changes."""

import concurrent.futures
import random
import typing

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import heartbeat_sender
from corianderport_tier.process import heartbeat_sender_set
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import neighbours

_HOSTS = 60
_PERIOD_S = 20.0


def _member(number: int) -> membership.Member:
    return membership.Member(
        f'h{number}',
        f'dc-{number % 3}',
        f'10.0.0.{number}:7740',
        incarnation=f'{number:08d}',
    )


class _Set:
    """The senders of host 0, which knows the others; none of them runs."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.members = membership.Membership(_member(0), self.clock)
        for number in range(1, _HOSTS):
            self.members.apply(membership.Rumour(_member(number)))
        exchange = heartbeats.HeartbeatExchange(
            self.members, lambda: 1, lambda member, version: None
        )
        self.senders = heartbeat_sender_set.HeartbeatSenderSet(
            self.members,
            lambda centre: 'r',
            exchange,
            # No sender runs.
            typing.cast(typing.Any, None),
            concurrent.futures.ThreadPoolExecutor(1),
            self.clock,
            heartbeat_sender.HeartbeatTimes(),
            _PERIOD_S,
            random.Random(1),
            lambda: None,
        )

    def random_names(self) -> set[str]:
        chosen = self.senders.neighbours()
        assert len(chosen) == neighbours.RING_NEIGHBOURS + 2
        return {m.name for m in chosen[neighbours.RING_NEIGHBOURS :]}

    def join(self, number: int) -> None:
        self.members.apply(membership.Rumour(_member(number)))


@pytest.fixture(name='known')
def _known() -> _Set:
    return _Set()


def test_change_of_the_view_keeps_the_random_neighbours(known: _Set) -> None:
    """Guards against new connections whenever a host comes or goes.

    Each of them costs a complete list of the hosts.
    """
    chosen = known.random_names()
    for number in range(_HOSTS, _HOSTS + 30):
        known.clock.advance(0.5)
        known.join(number)
        names = known.random_names()
        # One of them may have become a neighbour on the ring.
        ring = {m.name for m in known.senders.neighbours()} - names
        assert chosen - names <= ring
        chosen = names


def test_dead_neighbour_is_replaced_alone(known: _Set) -> None:
    """Guards against heartbeats to fewer hosts after a loss."""
    dead, kept = sorted(known.random_names())
    member = next(m for m in known.members.members() if m.name == dead)
    known.members.suspect(member, gone=True)
    names = known.random_names()
    assert kept in names and dead not in names


def test_random_neighbours_change_after_the_period(known: _Set) -> None:
    """Guards against hosts that never hear from most others.

    Changes of the view must not put the end of the period off.
    """
    chosen = known.random_names()
    for number in range(_HOSTS, _HOSTS + 40):
        known.clock.advance(_PERIOD_S / 40)
        known.join(number)
        known.random_names()
    known.clock.advance(0.1)
    assert not chosen & known.random_names()
