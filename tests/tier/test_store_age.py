"""Age of the store's state on each way by which it reaches a host."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import membership
from corianderport_tier.process import registry_relay
from corianderport_tier.process import registry_snapshot
from corianderport_tier.process import registry_source
from corianderport_tier.process import store_freshness
from corianderport_tier.version import registrations

_NAMES = [f'h{n}' for n in range(8)]
_FEW = _NAMES[:3]


class _Store:
    """Store whose replies show the state at the sending of the call."""

    def __init__(self, clock: clock_module.ManualClock) -> None:
        self._clock = clock
        self.revision = 1
        # Each revision and the time at which it was written.
        self.written: list[tuple[float, int]] = [(float('-inf'), 1)]
        self.disconnected: set[str] = set()
        self.history_gone: set[str] = set()
        self.call_s = 0.0
        self.waits_s: list[float] = []

    def write(self) -> None:
        self.revision += 1
        self.written.append((self._clock.boottime(), self.revision))

    def revision_at(self, time_s: float) -> int:
        """Return the revision just before a time."""
        return max(r for written_s, r in self.written if written_s < time_s)


class _Connection:
    def __init__(
        self, store: _Store, host: str, clock: clock_module.ManualClock
    ) -> None:
        self._store = store
        self._host = host
        self._clock = clock

    def read(self, prefix: str) -> registrations.StoredEntries:
        return self._reply(0)

    def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> registrations.StoredEntries:
        self._store.waits_s.append(wait_s)
        if self._host in self._store.history_gone:
            self._store.history_gone.discard(self._host)
            raise errors.HistoryGone('410')
        return self._reply(after)

    def _reply(self, after: int) -> registrations.StoredEntries:
        if self._host in self._store.disconnected:
            error = errors.ConnectionSilent('lost')
            error.fresh = True
            raise error
        revision = self._store.revision
        self._clock.advance(self._store.call_s)
        return registrations.StoredEntries(
            [
                registrations.StoredEntry('k', r, b'')
                for r in range(after + 1, revision + 1)
            ],
            max(after, revision),
        )


class _Host:
    """A host that reads the store like the reader task."""

    def __init__(self, fleet: '_Fleet', name: str) -> None:
        self.name = name
        self.relay = registry_relay.RegistryRelay(fleet.clock)
        self.freshness = store_freshness.StoreFreshness(
            fleet.clock, decision_log.DecisionLog(), lambda: True, 5.0
        )
        self.source = registry_source.RegistrySource(
            _Connection(fleet.store, name, fleet.clock),
            self.relay,
            fleet,
            _member(name),
            lambda: fleet.view,
            fleet.clock,
            freshness=self.freshness,
        )
        self.known: int | None = None
        self.as_of_s = float('-inf')

    def step(self, wait_s: float = 1.5) -> None:
        """Read or watch once."""
        try:
            if self.known is None:
                stored = self.source.read('')
            else:
                stored = self.source.watch('', self.known, wait_s)
        except errors.HistoryGone:
            self.known = None
            return
        except errors.CorianderportError:
            return
        self.known = max(self.known or 0, stored.revision)
        self.freshness.record(stored.as_of_s)
        if stored.as_of_s is not None:
            self.as_of_s = max(self.as_of_s, stored.as_of_s)


class _Fleet:
    """Hosts that call the store or each other in turn."""

    def __init__(self, names: list[str]) -> None:
        self.clock = clock_module.ManualClock()
        self.store = _Store(self.clock)
        self.view = _view(names)
        self.unreachable: set[str] = set()
        self.earlier_version: set[str] = set()
        self.peer_calls = 0
        self.hosts = {n: _Host(self, n) for n in names}

    def registry_changes(
        self,
        member: membership.Member,
        after: int,
        wait_s: float,
        timeout_s: float,
    ) -> registrations.StoredEntries:
        self._call(member)
        relay = self.hosts[member.name].relay
        return self._reply(member, relay.registry_changes(after, 0.0))

    def registry_entries(
        self, member: membership.Member, timeout_s: float
    ) -> registrations.StoredEntries:
        self._call(member)
        relay = self.hosts[member.name].relay
        return self._reply(member, relay.registry_entries())

    def _call(self, member: membership.Member) -> None:
        self.peer_calls += 1
        if member.name in self.unreachable:
            raise errors.ConnectionSilent('cut')

    def _reply(
        self, member: membership.Member, stored: registrations.StoredEntries
    ) -> registrations.StoredEntries:
        if member.name not in self.earlier_version:
            return stored
        return registrations.StoredEntries(
            stored.entries, stored.revision, stored.returned
        )

    def run(self, seconds: float) -> None:
        """Let each host call its source twice a second."""
        for _ in range(int(2 * seconds)):
            for host in self.hosts.values():
                host.step()
            self.clock.advance(0.5)

    @property
    def reader(self) -> _Host:
        chosen = registry_source.reader_for(_member('h0'), self.view)
        assert chosen is not None
        return self.hosts[chosen.name]

    @property
    def follower(self) -> _Host:
        reader = self.reader
        return next(h for h in self.hosts.values() if h is not reader)


def _member(name: str) -> membership.Member:
    return membership.Member(name, 'dc', name)


def _view(
    names: list[str], suspected: tuple[str, ...] = ()
) -> membership.View:
    members = tuple(_member(n) for n in names)
    standing = membership.Standing
    return membership.View(
        1,
        members,
        members,
        {
            n: standing.SUSPECT if n in suspected else standing.ALIVE
            for n in names
        },
    )


def test_age_counts_from_the_sending_of_a_call() -> None:
    """Guards against an age counted from the end of a watch.

    A watch that ends without a change proves nothing: the store may hold
    back changes while it drops history.
    """
    fleet = _Fleet(_FEW)
    fleet.store.call_s = 1.5
    host = fleet.hosts['h0']
    for _ in range(2):
        host.step()
        assert host.freshness.age_s == pytest.approx(1.5)


def test_age_of_several_pages_counts_from_the_first_call() -> None:
    """Guards against a change between two pages taken for known.

    The store's client reads all pages in one call of ``read``.
    """
    fleet = _Fleet(_FEW)
    fleet.store.call_s = 3.0
    host = fleet.hosts['h0']
    host.step()
    assert host.freshness.age_s == pytest.approx(3.0)


def test_lost_history_renews_nothing() -> None:
    """Guards against a failed watch that counts as knowledge.

    The age grows until all entries have been read again.
    """
    fleet = _Fleet(_FEW)
    host = fleet.hosts['h0']
    host.step()
    fleet.clock.advance(2.0)
    fleet.store.history_gone.add('h0')
    host.step()
    assert host.freshness.age_s == pytest.approx(2.0)
    host.step()
    assert host.freshness.age_s == 0.0


def test_failed_calls_renew_nothing() -> None:
    """Guards against keys accepted by a host that the store refuses."""
    fleet = _Fleet(_FEW)
    fleet.run(1.0)
    fleet.store.disconnected |= set(_FEW)
    fleet.run(6.0)
    assert all(h.freshness.refuses_keys for h in fleet.hosts.values())
    fleet.store.disconnected.clear()
    fleet.run(1.0)
    assert not any(h.freshness.refuses_keys for h in fleet.hosts.values())


def test_follower_has_the_age_of_its_reader() -> None:
    """Guards against relayed changes that look newer than they are."""
    fleet = _Fleet(_NAMES)
    fleet.run(3.0)
    reader, follower = fleet.reader, fleet.follower
    reader.step()
    fleet.clock.advance(1.2)
    calls = len(fleet.store.waits_s)
    follower.step()
    assert len(fleet.store.waits_s) == calls
    assert follower.freshness.age_s == pytest.approx(1.2)


def test_relayed_age_costs_no_calls_to_the_store() -> None:
    """Guards against followers that call the store to learn the age."""
    fleet = _Fleet(_NAMES)
    fleet.run(5.0)
    calls = len(fleet.store.waits_s)
    fleet.run(10.0)
    assert len(fleet.store.waits_s) - calls == 20
    assert not any(h.freshness.refuses_keys for h in fleet.hosts.values())


def test_follower_of_a_reader_that_is_cut_off_reads_the_store() -> None:
    """Guards against a whole data centre that refuses with its reader."""
    fleet = _Fleet(_NAMES)
    fleet.run(3.0)
    reader = fleet.reader
    fleet.store.disconnected.add(reader.name)
    for _ in range(20):
        fleet.run(0.5)
        for host in fleet.hosts.values():
            if host is not reader:
                assert host.freshness.age_s < 4.5
    # The reader itself learns the changes from others.
    assert reader.freshness.age_s < 4.5


def test_reader_that_was_suspended_relays_nothing_until_it_has_read() -> None:
    """Guards against followers that trust what a reader knew before."""
    fleet = _Fleet(_NAMES)
    fleet.run(3.0)
    fleet.clock.suspend(60.0)
    with pytest.raises(errors.NotReady):
        fleet.reader.relay.registry_changes(1, 0.0)
    follower = fleet.follower
    assert follower.freshness.refuses_keys
    follower.step()
    assert follower.freshness.age_s == 0.0


def test_reader_of_an_earlier_version_is_replaced_by_the_store() -> None:
    """Guards against a data centre that refuses during an update.

    The replies of a reader that states no age prove nothing.
    """
    fleet = _Fleet(_NAMES)
    fleet.earlier_version |= set(_NAMES)
    for _ in range(20):
        fleet.run(0.5)
        assert fleet.follower.freshness.fresh


def test_substitute_passes_on_its_own_age() -> None:
    """Guards against a host cut off from the store that looks current."""
    fleet = _Fleet(_FEW)
    fleet.run(1.0)
    fleet.store.disconnected.add('h0')
    host = fleet.hosts['h0']
    host.step()
    fleet.clock.advance(1.4)
    host.step()
    assert fleet.peer_calls > 0
    # The others have read the store half a second before the advance.
    assert host.freshness.age_s == pytest.approx(1.9)


def test_started_host_takes_the_age_of_the_entries_of_others() -> None:
    """Guards against a restart that makes old entries look new.

    The entries of a host that no longer reaches the store may be hours old.
    """
    fleet = _Fleet(_FEW)
    fleet.hosts['h1'].step()
    fleet.clock.advance(30.0)
    fleet.store.disconnected |= set(_FEW)
    host = fleet.hosts['h0']
    host.step()
    host.step()
    assert host.known == 1
    assert host.freshness.age_s == pytest.approx(30.0)
    assert host.freshness.refuses_keys


def test_started_host_takes_the_most_recent_of_equal_entries() -> None:
    """Guards against a host that refuses although another one is current.

    One of the others has not reached the store for long.
    """
    for late, current in (('h1', 'h2'), ('h2', 'h1')):
        fleet = _Fleet(_FEW)
        fleet.hosts[late].step()
        fleet.clock.advance(30.0)
        fleet.hosts[current].step()
        fleet.store.disconnected |= set(_FEW)
        host = fleet.hosts['h0']
        host.step()
        host.step()
        assert host.freshness.age_s == 0.0


def test_changes_of_unknown_age_keep_the_age_of_the_snapshot() -> None:
    """Guards against a snapshot that looks newer than its entries."""
    snapshot = registry_snapshot.RegistrySnapshot()
    snapshot.replace(registrations.StoredEntries([], 1, as_of_s=7.0))
    snapshot.apply(registrations.StoredEntries([], 2))
    assert snapshot.entries().as_of_s == 7.0
    snapshot.apply(registrations.StoredEntries([], 3, as_of_s=9.0))
    snapshot.apply(registrations.StoredEntries([], 3, as_of_s=8.0))
    assert snapshot.entries().as_of_s == 9.0
    snapshot.replace(registrations.StoredEntries([], 4))
    assert snapshot.entries().as_of_s is None


class AgeMachine(stateful.RuleBasedStateMachine):
    """A host that claims an age knows all changes written before it.

    Hosts lose the store, each other, their reader, the history and time, in
    any order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = _Fleet(_NAMES)
        self.fleet.run(1.0)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def toggle_store_access(self, name: str) -> None:
        self.fleet.store.disconnected ^= {name}

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def disconnect_or_reconnect(self, name: str) -> None:
        self.fleet.unreachable ^= {name}

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def lose_history(self, name: str) -> None:
        self.fleet.store.history_gone.add(name)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def update_or_downgrade(self, name: str) -> None:
        self.fleet.earlier_version ^= {name}

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def restart(self, name: str) -> None:
        self.fleet.hosts[name] = _Host(self.fleet, name)

    @stateful.rule(suspected=strategies.sets(strategies.sampled_from(_NAMES)))
    def change_view(self, suspected: set[str]) -> None:
        self.fleet.view = _view(_NAMES, tuple(suspected))

    @stateful.rule(call_s=strategies.sampled_from([0.0, 0.1, 1.0]))
    def change_speed_of_the_store(self, call_s: float) -> None:
        self.fleet.store.call_s = call_s

    @stateful.rule()
    def write(self) -> None:
        self.fleet.store.write()

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 30.0]))
    def suspend_the_machines(self, seconds: float) -> None:
        self.fleet.clock.suspend(seconds)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 2.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.clock.advance(seconds)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def step(self, name: str) -> None:
        self.fleet.hosts[name].step()

    @stateful.rule()
    def run(self) -> None:
        self.fleet.run(1.0)

    @stateful.invariant()
    def claimed_ages_are_true(self) -> None:
        store = self.fleet.store
        for host in self.fleet.hosts.values():
            if host.as_of_s > float('-inf'):
                assert host.as_of_s <= self.fleet.clock.boottime()
                known = host.known
                # A host that has lost the history keeps what it has applied.
                if known is not None:
                    assert known >= store.revision_at(host.as_of_s)


AgeMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
TestAge = AgeMachine.TestCase
