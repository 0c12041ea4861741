"""HeartbeatSender: when the first heartbeat asks for all rumours."""

import typing

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import heartbeat_sender
from corianderport_tier.process import heartbeats
from corianderport_tier.process import list_refresh
from corianderport_tier.process import membership

_HOSTS = 20


def _member(number: int) -> membership.Member:
    return membership.Member(
        f'h{number}', 'dc-a', f'10.0.0.{number}:1', incarnation='1'
    )


class _Hosts:
    """A host that sends heartbeats to others, which know all hosts."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.members = membership.Membership(_member(0), self.clock)
        self.exchange = heartbeats.HeartbeatExchange(
            self.members, lambda: 1, lambda member, version: None
        )
        self.refresh = list_refresh.ListRefresh(self.clock)
        self.sent: list[heartbeats.Heartbeat] = []
        self.known = [membership.Rumour(_member(n)) for n in range(_HOSTS)]

    def dial(self, member: membership.Member, timeout_s: float) -> typing.Any:
        return _Transport(self, member)

    def sender(self, number: int) -> heartbeat_sender.HeartbeatSender:
        return heartbeat_sender.HeartbeatSender(
            _member(number),
            self.exchange,
            self.members,
            self,
            self.clock,
            heartbeat_sender.HeartbeatTimes(),
            self.refresh,
            lambda: None,
        )

    def asks(self, number: int) -> bool:
        """Return whether the first heartbeat to a host asks for all."""
        self.sender(number).exchange()
        return self.sent[-1].joining


class _Transport:
    def __init__(self, hosts: _Hosts, member: membership.Member) -> None:
        self._hosts = hosts
        self._member = member

    def heartbeat(
        self, message: heartbeats.Heartbeat, timeout_s: float
    ) -> heartbeats.Heartbeat:
        self._hosts.sent.append(message)
        rumours = self._hosts.known if message.joining else ()
        return heartbeats.Heartbeat(
            membership.Rumour(self._member), 1, tuple(rumours)
        )

    def close(self) -> None:
        return


@pytest.fixture(name='hosts')
def _hosts() -> _Hosts:
    return _Hosts()


def test_new_neighbours_in_quick_succession_are_asked_once(
    hosts: _Hosts,
) -> None:
    """Guards against a list from each neighbour while views change."""
    assert hosts.asks(1)
    assert len(hosts.members.members()) == _HOSTS
    hosts.clock.advance(1.0)
    hosts.members.step()
    assert not hosts.asks(2)
    for _ in range(3):
        hosts.clock.advance(1.0)
        hosts.members.step()
    assert hosts.asks(3)


def test_only_the_first_heartbeat_asks(hosts: _Hosts) -> None:
    """Guards against lists in heartbeats to a neighbour that stays."""
    sender = hosts.sender(1)
    for _ in range(10):
        sender.exchange()
        hosts.clock.advance(1.0)
        hosts.members.step()
    assert [message.joining for message in hosts.sent] == [
        True,
        *[False] * 9,
    ]


def test_host_that_seemed_dead_is_asked(hosts: _Hosts) -> None:
    """Guards against two parts of the hosts that stay separated."""
    assert hosts.asks(1)
    assert not hosts.asks(2)
    hosts.members.suspect(_member(3))
    for _ in range(2):
        hosts.clock.advance(1.5)
        hosts.members.step()
    assert hosts.members.standing(_member(3)) is membership.Standing.DEAD
    hosts.refresh.received(_HOSTS, _HOSTS)
    assert not hosts.asks(4)
    assert hosts.asks(3)


def test_neighbour_is_asked_after_a_pause(hosts: _Hosts) -> None:
    """Guards against a host that does not learn what it missed."""
    sender = hosts.sender(1)
    sender.exchange()
    hosts.clock.advance(2.9)
    sender.exchange()
    assert not hosts.sent[-1].joining
    assert hosts.asks(2)
