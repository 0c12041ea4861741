"""Rumours of many hosts that start together reach all with bounded traffic."""

import random

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import neighbours

_HOSTS = 60
_DATA_CENTRES = 3
_SEEDS = 3


class _Fleet:
    """Hosts that exchange heartbeats once a second, without a network."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.rng = random.Random(1)
        self.hosts = [
            membership.Member(
                f'h{n}',
                f'dc-{n % _DATA_CENTRES}',
                f'10.0.0.{n}:7740',
                incarnation=f'{n:08d}',
            )
            for n in range(_HOSTS)
        ]
        self.members = {
            h.name: membership.Membership(h, self.clock, lambda centre: 'r')
            for h in self.hosts
        }
        self.exchanges = {
            name: heartbeats.HeartbeatExchange(
                members, lambda: 1, lambda member, version: None
            )
            for name, members in self.members.items()
        }
        self.rumours = self.messages = 0

    def exchange(
        self,
        sender: membership.Member,
        to: membership.Member,
        joining: bool = False,
    ) -> None:
        message = self.exchanges[sender.name].build(to, joining)
        reply = self.exchanges[to.name].receive(message)
        self.exchanges[sender.name].on_reply(reply, self.clock.monotonic())
        self.rumours += len(message.rumours) + len(reply.rumours)
        self.messages += 2

    def second(self) -> None:
        for host in self.hosts:
            live = self.members[host.name].live()
            for to in neighbours.choose(
                host, live, lambda centre: 'r', self.rng
            ):
                self.exchange(host, to)
        self.clock.advance(1.0)
        for members in self.members.values():
            members.step()


@pytest.fixture(name='fleet')
def _started_fleet() -> _Fleet:
    fleet = _Fleet()
    for host in fleet.hosts:
        for seed in fleet.hosts[:_SEEDS]:
            if seed is not host:
                fleet.exchange(host, seed, joining=True)
    return fleet


def test_hosts_that_start_together_soon_know_each_other(
    fleet: _Fleet,
) -> None:
    """Guards against feedback that ends rumours while many compete."""
    for _ in range(15):
        fleet.second()
    assert all(len(m.live()) == _HOSTS for m in fleet.members.values())


def test_news_of_one_host_reaches_all_and_ends(fleet: _Fleet) -> None:
    """Guards against sending on what all hosts know.

    Without feedback, each host sends each rumour 3 log2(N) times.
    """
    for _ in range(25):
        fleet.second()
    before = fleet.rumours
    leaving = fleet.hosts[7]
    fleet.members[leaving.name].leave()
    for _ in range(8):
        fleet.second()
    for members in fleet.members.values():
        states = {m.name: m.state for m in members.members()}
        assert states[leaving.name] is membership.MemberState.LEAVING
    sends = fleet.rumours - before
    assert sends <= 0.85 * 3 * _HOSTS.bit_length() * _HOSTS


def test_neighbours_are_near() -> None:
    """Guards against heartbeats that cross data centres without need."""
    fleet = _Fleet()
    own = fleet.hosts[0]
    chosen = neighbours.choose(
        own, fleet.hosts, lambda centre: 'r', random.Random(2)
    )
    near = [m for m in chosen if m.data_centre == own.data_centre]
    assert len(chosen) == 6
    assert len(near) >= neighbours.RING_NEIGHBOURS
    # A data centre with few hosts continues the ring elsewhere.
    few = [own, *(m for m in fleet.hosts if m.data_centre != own.data_centre)]
    assert (
        len(neighbours.choose(own, few, lambda centre: 'r', random.Random(2)))
        == 6
    )
