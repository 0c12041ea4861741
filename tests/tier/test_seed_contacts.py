"""A starting host asks the seeds which other hosts have started."""

import concurrent.futures
import typing

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import seed_contact
from corianderport_tier.process import seed_contacts


class _Seed:
    """A seed whose process can be replaced."""

    def __init__(self, clock: clock_module.ManualClock) -> None:
        self._clock = clock
        self.running = True
        self.restart('1')

    def restart(self, incarnation: str) -> None:
        own = membership.Member('seed', 'dc', 'a:1', incarnation=incarnation)
        self.members = membership.Membership(own, self._clock)
        self.exchange = _exchange(self.members)

    def knows(self, name: str) -> bool:
        return any(m.name == name for m in self.members.members())


def _exchange(members: membership.Membership) -> heartbeats.HeartbeatExchange:
    return heartbeats.HeartbeatExchange(members, lambda: 1, lambda m, v: None)


class _Dialer:
    """Also the transport."""

    def __init__(self, seeds: dict[str, _Seed]) -> None:
        self._seeds = seeds
        self.dials = self.rumours = 0

    def dial(self, member: membership.Member, timeout_s: float) -> typing.Any:
        self.dials += 1
        seed = self._seeds[member.peer_address]
        if not seed.running:
            raise errors.ConnectRefused('no process')
        return _Transport(self, seed)


class _Transport:
    def __init__(self, dialer: _Dialer, seed: _Seed) -> None:
        self._dialer = dialer
        self._seed = seed

    def heartbeat(
        self, message: heartbeats.Heartbeat, timeout_s: float
    ) -> heartbeats.Heartbeat:
        if not self._seed.running:
            raise errors.ConnectionBroken('ended')
        reply = self._seed.exchange.receive(message)
        self._dialer.rumours += len(reply.rumours)
        return reply

    def close(self) -> None:
        return


class _Executor(concurrent.futures.Executor):
    """The test steps the contacts."""

    def __init__(self) -> None:
        self.submitted = 0

    def submit(  # type: ignore[override]
        self, task: typing.Any, /, *arguments: typing.Any
    ) -> None:
        self.submitted += 1


class _Host:
    """A starting host and its seeds."""

    def __init__(self, seeds: int = 3, own_seed: bool = False) -> None:
        self.clock = clock_module.ManualClock()
        self.seeds = {f'a:{n}': _Seed(self.clock) for n in range(seeds)}
        own = membership.Member('own', 'dc', 'b:1', incarnation='2')
        self.members = membership.Membership(own, self.clock)
        self.dialer = _Dialer(self.seeds)
        self.answered: list[str] = []
        self.failed: list[str] = []
        self.contacts = [
            seed_contact.SeedContact(
                address,
                _exchange(self.members),
                self.dialer,
                self.clock,
                self.answered.append,
                lambda address, error: self.failed.append(address),
            )
            for address in self.seeds
        ]
        self.executor = _Executor()
        self.all = seed_contacts.SeedContacts(
            self.contacts, own_seed, 8.0, self.executor, self.clock
        )

    def run(self, seconds: float) -> None:
        """Query the seeds, and apply what they know, for some time."""
        for _ in range(round(seconds * 10)):
            self.all.step()
            for contact in self.contacts:
                contact.step()
            self.all.apply(self.all.current())
            self.clock.advance(0.1)


def test_majority_of_the_seeds_is_enough() -> None:
    """Guards against a fleet that waits for a seed that is down."""
    host = _Host()
    host.seeds['a:2'].running = False
    host.run(0.5)
    assert not host.all.confirmed
    assert 0 < host.all.confirmed_in_s < 1
    host.run(0.6)
    assert host.all.confirmed
    assert host.all.confirmed_in_s == 0
    assert all(seed.knows('own') for seed in [*host.seeds.values()][:2])
    assert set(host.answered) == {'a:0', 'a:1'}
    assert set(host.failed) == {'a:2'}


def test_half_of_the_seeds_is_not_enough() -> None:
    """Guards against two halves of the seeds that know different hosts."""
    host = _Host(4)
    for address in ('a:0', 'a:1'):
        host.seeds[address].running = False
    host.run(3)
    assert not host.all.confirmed


@pytest.mark.parametrize(('seeds', 'confirmed'), [(0, True), (1, False)])
def test_own_process_counts_if_it_is_a_seed(
    seeds: int, confirmed: bool
) -> None:
    """Guards against a seed that waits for itself."""
    host = _Host(seeds, own_seed=True)
    for seed in host.seeds.values():
        seed.running = False
    host.run(0.5)
    assert not host.all.confirmed
    host.run(1)
    assert host.all.confirmed is confirmed


def test_without_seeds_nothing_is_confirmed() -> None:
    """Guards against a host that can't know others."""
    host = _Host(0)
    host.run(2)
    assert not host.all.confirmed
    assert host.all.confirmed_in_s > 0


def test_replies_are_relied_on_for_a_short_time() -> None:
    """Guards against a host that was cut off and misses new hosts."""
    host = _Host()
    host.run(2)
    assert host.all.confirmed
    for seed in host.seeds.values():
        seed.running = False
    host.run(seed_contact.LEASE_S - 0.2)
    assert host.all.confirmed
    host.run(0.4)
    assert not host.all.confirmed


def test_suspended_machine_does_not_rely_on_old_replies() -> None:
    """Guards against a host that resumes and grants what others took over."""
    host = _Host()
    host.run(2)
    host.clock.suspend(2)
    assert not host.all.confirmed


def test_seed_that_has_restarted_counts_after_some_time() -> None:
    """Guards against a seed that has forgotten hosts that rely on it.

    Its changes are numbered anew, so that all are asked for again.
    """
    host = _Host(1)
    host.run(2)
    seed = host.seeds['a:0']
    seed.restart('3')
    for number in range(3):
        seed.members.apply(
            membership.Rumour(
                membership.Member(f'h{number}', 'dc', 'x', incarnation='1')
            )
        )
    host.run(seed_contact.LEASE_S)
    assert not host.all.confirmed
    assert len(host.members.members()) == 5
    host.run(0.3)
    assert host.all.confirmed


def test_only_changes_are_sent() -> None:
    """Guards against replies with all hosts, several times a second."""
    host = _Host(1)
    seed = host.seeds['a:0']
    for number in range(50):
        seed.members.apply(
            membership.Rumour(
                membership.Member(f'h{number}', 'dc', 'x', incarnation='1')
            )
        )
    host.run(4)
    assert host.dialer.rumours == 51
    assert host.dialer.dials == 1


def test_too_many_changes_are_not_a_complete_reply() -> None:
    """Guards against a host that relies on a truncated list."""
    host = _Host(1)
    for number in range(1_100):
        host.seeds['a:0'].members.apply(
            membership.Rumour(
                membership.Member(f'h{number}', 'dc', 'x', incarnation='1')
            )
        )
    host.run(2)
    assert not host.all.confirmed


def test_contacts_end_when_the_host_is_no_longer_new() -> None:
    """Guards against load on the seeds that never ends."""
    host = _Host(1)
    host.run(7)
    assert host.executor.submitted == 1
    assert not host.contacts[0]._closed
    host.run(2)
    assert host.contacts[0]._closed
    assert host.executor.submitted == 1
