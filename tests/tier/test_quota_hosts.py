"""Which hosts a host counts when quotas are divided."""

from corianderport_daemon.process import incarnations
from corianderport_testkit import clock as clock_module
from corianderport_tier.process import membership
from corianderport_tier.process import quota_hosts

Standing = membership.Standing
_OLD, _YOUNG, _NOW = '000000001000.x', '000000009000.x', '000000009100.x'
_NOW_S = incarnations.started_s(_NOW)
_OWN = membership.Member('own', 'dc-a', '127.0.0.1:1', incarnation=_NOW)
_OTHER = membership.Member('other', 'dc-a', '127.0.0.1:2', incarnation=_YOUNG)


class _Host:
    """One host that knows another one."""

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock(_NOW_S)
        self.members = membership.Membership(_OWN, self.clock)
        self.members.apply(membership.Rumour(_OTHER))
        self.names: tuple[str, ...] = ('other', 'own')
        self.joined = True
        self.known_seeds = 1.0
        self.confirmed = False
        self.fleet = quota_hosts.MembershipHosts(
            self.members,
            lambda: self.names,
            lambda: self.joined,
            lambda: self.known_seeds,
            lambda: 0.0 if self.confirmed else 0.5,
            incarnations.started_s,
            self.clock,
        )

    def apply(
        self, standing: Standing, member: membership.Member = _OTHER
    ) -> None:
        self.members.apply(membership.Rumour(member, standing))


def test_dead_host_keeps_its_place() -> None:
    """Guards against another host that grants an unreachable one's part."""
    host = _Host()
    assert host.fleet.hosts.dead == frozenset()
    host.apply(Standing.DEAD)
    hosts = host.fleet.hosts
    assert hosts.names == ('other', 'own')
    assert hosts.dead == {'other'}
    assert hosts.known_fraction == 1.0


def test_forgotten_host_reduces_the_known_fraction() -> None:
    """Guards against two sides of a partition with the whole quota each."""
    host = _Host()
    host.apply(Standing.DEAD)
    host.names = ('own',)
    assert host.fleet.hosts.forgotten == 1
    assert host.fleet.hosts.known_fraction == 0.5


def test_host_that_has_ended_is_not_counted() -> None:
    """Guards against a reduced quota after a host was removed."""
    host = _Host()
    host.apply(Standing.GONE)
    host.names = ('own',)
    assert host.fleet.hosts.known_fraction == 1.0


def test_same_object_until_something_changes() -> None:
    """Guards against owners computed anew for each request."""
    host = _Host()
    before = host.fleet.hosts
    assert host.fleet.hosts is before
    host.apply(Standing.SUSPECT)
    assert host.fleet.hosts.names is before.names


def test_first_start_and_late_start() -> None:
    """Guards against a late host that grants before all know it."""
    host = _Host()
    assert host.fleet.first_start
    old = membership.Member('old', 'dc-a', '127.0.0.1:3', incarnation=_OLD)
    host.apply(Standing.ALIVE, old)
    assert not host.fleet.first_start
    host.apply(Standing.GONE, old)
    assert host.fleet.first_start


def test_hosts_that_have_started_recently() -> None:
    """Guards against a host that begins when others no longer look for it."""
    host = _Host()
    assert host.fleet.all_young
    host.clock.advance(quota_hosts.YOUNG_S - quota_hosts.MAX_SKEW_S - 0.3)
    assert host.fleet.all_young
    host.clock.advance(0.3)
    assert not host.fleet.all_young


def test_host_whose_clock_is_ahead_is_not_young() -> None:
    """Guards against an old host that seems to start in the future."""
    host = _Host()
    ahead = membership.Member(
        'ahead', 'dc-a', '127.0.0.1:3', incarnation='00000000ffff.x'
    )
    host.apply(Standing.ALIVE, ahead)
    assert host.fleet.first_start
    assert not host.fleet.all_young
    assert host.fleet.hosts.late == {'ahead'}


def test_unknown_form_of_incarnation_is_not_young() -> None:
    """Guards against early grants beside a host of another version."""
    host = _Host()
    strange = membership.Member(
        'strange', 'dc-a', '127.0.0.1:3', incarnation='x1'
    )
    host.apply(Standing.ALIVE, strange)
    assert not host.fleet.first_start


def test_serving() -> None:
    """Guards against tokens granted before joining or while leaving."""
    host = _Host()
    assert host.fleet.serving
    host.joined = False
    assert not host.fleet.serving
    assert host.fleet.grants_in_s == 0.5
    host.confirmed = True
    assert host.fleet.serving
    assert host.fleet.grants_in_s == 0
    host.confirmed = False
    host.joined = True
    host.members.leave()
    assert not host.fleet.serving


def test_host_that_started_while_it_was_cut_off() -> None:
    """Guards against a host that takes itself for the whole fleet."""
    host = _Host()
    host.known_seeds = 0.6
    assert host.fleet.serving
    assert not host.fleet.first_start
    host.known_seeds = 0.5
    assert not host.fleet.serving
