"""Tests for Gossip: the number of hosts that the bounds are divided by."""

import collections.abc
import concurrent.futures
import random
import typing

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import gossip
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership


class _SeedExecutor(concurrent.futures.Executor):
    """Contacts seeds synchronously; the test steps heartbeat senders."""

    def submit(  # type: ignore[override]
        self,
        task: collections.abc.Callable[..., typing.Any],
        /,
        *arguments: typing.Any,
    ) -> None:
        if task.__name__ == '_ask_seed':
            task(*arguments)


class _Network:
    """Hosts that can reach each other unless a link is cut."""

    def __init__(self, count: int, seeds: tuple[str, ...]) -> None:
        self.clock = clock_module.ManualClock()
        self.cut: set[frozenset[str]] = set()
        self.stopped: set[str] = set()
        self.exchanges: dict[str, heartbeats.HeartbeatExchange] = {}
        self.hosts: dict[str, gossip.Gossip] = {}
        for number in range(count):
            self.start(f'h{number}', seeds, '1')

    def start(
        self, name: str, seeds: tuple[str, ...], incarnation: str
    ) -> None:
        own = membership.Member(name, 'dc', name, incarnation=incarnation)
        members = membership.Membership(own, self.clock, lambda dc: 'r')
        exchange = heartbeats.HeartbeatExchange(
            members, lambda: 1, lambda m, v: None
        )
        self.exchanges[name] = exchange
        self.hosts[name] = gossip.Gossip(
            members,
            exchange,
            _Dialer(self, name),
            lambda dc: 'r',
            seeds,
            _SeedExecutor(),
            self.clock,
            gossip.GossipTimes(),
            random.Random(1),
            lambda: None,
        )

    def run(self, count: int) -> None:
        """Run a number of periods on every host, with its heartbeats."""
        for _ in range(count):
            for name, host in self.hosts.items():
                if name in self.stopped:
                    continue
                host.step()
                for sender in host._senders.active:
                    sender.exchange()
            self.clock.advance(1.0)

    def host_count(self, name: str) -> int:
        return len(self.hosts[name].hosts)


class _Dialer:
    def __init__(self, network: _Network, own: str) -> None:
        self._network = network
        self._own = own

    def dial(
        self, member: membership.Member, timeout_s: float
    ) -> '_Transport':
        other = member.peer_address
        if frozenset((self._own, other)) in self._network.cut:
            raise errors.ConnectFailed('cut')
        if other in self._network.stopped:
            raise errors.ConnectRefused('no process')
        return _Transport(self._network, self._own, other)


class _Transport:
    def __init__(self, network: _Network, own: str, other: str) -> None:
        self._network = network
        self._ends = (own, other)

    def heartbeat(
        self, message: heartbeats.Heartbeat, timeout_s: float
    ) -> heartbeats.Heartbeat:
        other = self._ends[1]
        if frozenset(self._ends) in self._network.cut:
            raise errors.ConnectionSilent('cut')
        if other in self._network.stopped:
            raise errors.ConnectionBroken('ended')
        return self._network.exchanges[other].receive(message)

    def close(self) -> None:
        return

    def __getattr__(self, name: str) -> typing.Any:
        raise AssertionError(f'unexpected call of {name}')


def test_all_hosts_discover_each_other_through_seeds() -> None:
    """Every host must count all others.

    Most hosts are not seeds, and no host runs at one of the seed addresses.
    """
    network = _Network(6, ('h0', 'h1', 'nobody'))
    network.stopped.add('nobody')
    network.run(4)
    assert {network.host_count(name) for name in network.hosts} == {6}


def test_partitioned_hosts_still_count() -> None:
    """A host must still count hosts that it cannot reach.

    Both sides of a partition continue to send to searchers and would exceed
    the bounds together.
    """
    network = _Network(6, ('h0', 'h1', 'h2'))
    network.run(4)
    one, two = ('h0', 'h1', 'h2'), ('h3', 'h4', 'h5')
    network.cut = {frozenset((a, b)) for a in one for b in two}
    network.run(20)
    assert {network.host_count(name) for name in network.hosts} == {6}


def test_leaving_and_stopped_hosts_do_not_count() -> None:
    """Hosts that no longer send must not reduce the share of the others.

    One host announces that it leaves; another one fails and refuses
    connections.
    """
    network = _Network(6, ('h0', 'h1', 'h2'))
    network.run(4)
    network.hosts['h4'].leave()
    network.run(3)
    network.stopped.update(('h4', 'h5'))
    network.run(8)
    assert network.host_count('h0') == 4


def test_restarted_host_counts_once() -> None:
    """A restarted host must not be counted as a further one.

    Its name and address stay, and its incarnation is new.
    """
    network = _Network(4, ('h0', 'h1'))
    network.run(4)
    network.start('h3', ('h0', 'h1'), '2')
    network.run(6)
    assert {network.host_count(name) for name in network.hosts} == {4}


@pytest.mark.parametrize('seeds', [(), ('h0',)])
def test_start_does_not_wait_for_itself(seeds: tuple[str, ...]) -> None:
    """A host must not wait for seeds if there is no other one.

    The host itself may be the only seed.
    """
    network = _Network(1, seeds)
    assert network.hosts['h0'].joined


def test_start_waits_for_seeds_for_a_bounded_time() -> None:
    """A host must start even if no seed answers.

    All seeds may have failed, or not have been started yet.
    """
    network = _Network(1, ('h7',))
    network.stopped.add('h7')
    network.run(1)
    assert not network.hosts['h0'].joined
    network.run(1)
    assert network.hosts['h0'].joined


def test_seed_that_announces_another_address_is_known() -> None:
    """Guards against a host that never grants quotas.

    The seed is reached at an address that it does not announce.
    """
    network = _Network(1, ())
    network.exchanges['alias'] = network.exchanges['h0']
    network.start('h1', ('alias',), '1')
    assert network.hosts['h1'].known_seeds == 0
    network.hosts['h1'].step()
    assert network.hosts['h1'].known_seeds == 1


def test_known_seeds_count_those_that_answer_refuse_or_are_heard_of() -> None:
    """Guards against a restarted host that takes itself for the whole fleet.

    It is cut off from two of four seeds; one seed does not run.
    """
    network = _Network(1, ('h0', 'h1', 'h2', 'h3', 'h4'))
    host = network.hosts['h0']
    network.stopped.add('h1')
    network.cut = {frozenset(('h0', name)) for name in ('h2', 'h3', 'h4')}
    network.run(1)
    assert host.known_seeds == 0.25
    network.start('h2', ('h0', 'h3'), '1')
    network.start('h3', ('h0', 'h2'), '1')
    network.cut.remove(frozenset(('h0', 'h2')))
    network.run(7)
    # The host has heard of h3 from h2.
    assert host.known_seeds == 0.75


def test_lone_host_knows_nothing_of_a_fleet_without_seeds() -> None:
    """Guards against a host that takes itself for the whole fleet.

    No process listens at the addresses of the seeds yet, so that hosts that
    are no seeds don't find each other.
    """
    network = _Network(1, ('s1', 's2'))
    network.stopped |= {'s1', 's2'}
    network.run(3)
    assert network.hosts['h0'].known_seeds == 0
    network.start('s1', ('s1', 's2'), '1')
    network.stopped.remove('s1')
    network.run(8)
    assert network.hosts['h0'].known_seeds == 1
    assert network.hosts['s1'].known_seeds == 1


def test_seed_that_refused_is_unknown_after_a_silence() -> None:
    """Guards against a host that was cut off before the seeds started."""
    network = _Network(2, ('h0', 'h1', 's1', 's2'))
    network.stopped |= {'s1', 's2'}
    network.run(3)
    assert network.hosts['h0'].known_seeds == 1
    network.cut |= {frozenset(('h0', 's1')), frozenset(('h0', 's2'))}
    network.run(8)
    assert network.hosts['h0'].known_seeds < 0.5
