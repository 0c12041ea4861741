"""Tests of RegistrySource: choice of the reader and age of changes."""

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.process import registry_relay
from corianderport_tier.process import registry_source
from corianderport_tier.version import registrations

_NAMES = [f'h{n}' for n in range(8)]
# A version must reach all hosts within three seconds, and waits up to 1.5 s
# for searchers of new services.
_MAX_DELAY_S = 3.0 - 0.4


def _member(name: str, data_centre: str = 'dc') -> membership.Member:
    return membership.Member(name, data_centre, name)


def _view(
    names: list[str], suspected: tuple[str, ...] = ()
) -> membership.View:
    members = tuple(_member(n) for n in names)
    return membership.View(
        1,
        members,
        members,
        {
            n: membership.Standing.SUSPECT
            if n in suspected
            else membership.Standing.ALIVE
            for n in names
        },
    )


def _reader(names: list[str], own: str, *suspected: str) -> str | None:
    reader = registry_source.reader_for(_member(own), _view(names, suspected))
    return None if reader is None else reader.name


def test_hosts_of_a_data_centre_select_the_same_reader() -> None:
    readers = {_reader(_NAMES, name) for name in _NAMES}
    assert len(readers) == 1
    assert readers <= set(_NAMES)


def test_each_host_of_a_small_fleet_reads_the_store() -> None:
    assert {_reader(_NAMES[:5], n) for n in _NAMES[:5]} == {None}


def test_number_of_readers_grows_with_the_data_centre() -> None:
    """Guards against too many followers of one reader.

    A reader refuses more than 32 followers, and each refused one reads the
    store itself.
    """
    names = [f'h{n}' for n in range(100)]
    chosen = [_reader(names, name) for name in names]
    counts = {reader: chosen.count(reader) for reader in chosen}
    assert len(counts) == 5
    # A reader refuses more followers, and those read the store themselves.
    assert max(counts.values()) <= 32


def test_suspected_reader_is_not_asked() -> None:
    first = _reader(_NAMES, 'h0')
    assert first is not None
    others = [n for n in _NAMES if n != first]
    assert first not in {_reader(_NAMES, n, first) for n in others}


class _Store:
    """Store with numbered changes.

    ``disconnected`` hosts get no reply, ``silent`` ones none on the connection
    that they have.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.content = b''
        self.calls = 0
        self.disconnected: set[str] = set()
        self.silent: set[str] = set()


@attrs.define
class _Connection:
    """A host's connection to the store; watches return immediately."""

    store: _Store
    host: str
    clock: clock_module.ManualClock
    established: bool = False

    def _call(self) -> None:
        self.store.calls += 1
        established, self.established = self.established, False
        if self.host in self.store.disconnected:
            error = errors.ConnectionSilent('lost')
            error.fresh = not established
            raise error
        if established and self.host in self.store.silent:
            raise errors.ConnectionSilent('lost')
        self.store.silent.discard(self.host)
        self.established = True

    def read(self, prefix: str) -> registrations.StoredEntries:
        self._call()
        return registrations.StoredEntries(
            [
                registrations.StoredEntry(
                    'k', self.store.revision, self.store.content
                )
            ],
            self.store.revision,
        )

    def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> registrations.StoredEntries:
        self._call()
        changed = range(after + 1, self.store.revision + 1)
        return registrations.StoredEntries(
            [
                registrations.StoredEntry('k', r, self.store.content)
                for r in changed
            ],
            max(after, self.store.revision),
        )


class _Fleet:
    """Hosts that call their source in turn, twice a second."""

    def __init__(self, names: list[str]) -> None:
        self.clock = clock_module.ManualClock()
        self.store = _Store()
        self.view = _view(names)
        self.unreachable: set[str] = set()
        self.peer_calls = 0
        self.relays = {
            n: registry_relay.RegistryRelay(self.clock) for n in names
        }
        self.revisions = dict.fromkeys(names, 1)
        self.sources = {
            n: registry_source.RegistrySource(
                _Connection(self.store, n, self.clock),
                self.relays[n],
                self,
                _member(n),
                lambda: self.view,
                self.clock,
            )
            for n in names
        }

    def registry_changes(
        self,
        member: membership.Member,
        after: int,
        wait_s: float,
        timeout_s: float,
    ) -> registrations.StoredEntries:
        self._call(member)
        return self.relays[member.name].registry_changes(after, 0.0)

    def registry_entries(
        self, member: membership.Member, timeout_s: float
    ) -> registrations.StoredEntries:
        self._call(member)
        return self.relays[member.name].registry_entries()

    def _call(self, member: membership.Member) -> None:
        self.peer_calls += 1
        if member.name in self.unreachable:
            raise errors.ConnectionSilent('cut')

    def step(self, name: str) -> None:
        try:
            changes = self.sources[name].watch('', self.revisions[name], 2.2)
        except errors.CorianderportError:
            return
        self.revisions[name] = max(self.revisions[name], changes.revision)

    def run(self, seconds: float) -> None:
        """Let each host call its source twice a second."""
        for _ in range(int(2 * seconds)):
            for name in self.sources:
                self.step(name)
            self.clock.advance(0.5)


def test_calls_to_the_store_do_not_grow_with_the_hosts() -> None:
    fleet = _Fleet(_NAMES)
    fleet.run(10.0)
    calls = fleet.store.calls
    fleet.run(10.0)
    # A single host reads the store, twice a second in this test.
    assert fleet.store.calls - calls == 20


def test_followers_read_the_store_while_the_reader_is_unreachable() -> None:
    fleet = _Fleet(_NAMES)
    fleet.run(5.0)
    reader = _reader(_NAMES, 'h0')
    assert reader is not None
    fleet.unreachable.add(reader)
    fleet.store.revision = 5
    fleet.run(0.5)
    assert set(fleet.revisions.values()) == {5}


def test_followers_return_soon_after_an_outage_of_the_store() -> None:
    """Guards against a whole fleet that reads the store after an outage.

    The reader has no recent reply to pass on while the store does not answer.
    When it answers again, followers that did not ask their reader for five
    seconds each read every change of that time.
    """
    fleet = _Fleet(_NAMES)
    fleet.run(5.0)
    fleet.store.disconnected.update(_NAMES)
    fleet.run(3.0)
    fleet.store.disconnected.clear()
    fleet.run(2.0)
    calls = fleet.store.calls
    fleet.run(4.0)
    # Only the reader calls the store, twice a second.
    assert fleet.store.calls - calls == 8


def test_followers_read_a_large_change_from_the_store_once() -> None:
    """Guards against followers that leave their reader after a large change.

    Each follower would then call the store for as long as after a failure of
    the reader.
    """
    fleet = _Fleet(_NAMES)
    fleet.run(5.0)
    fleet.store.content = bytes(262_144)
    fleet.store.revision += 1
    calls = fleet.store.calls
    fleet.run(0.5)
    assert set(fleet.revisions.values()) == {fleet.store.revision}
    assert fleet.store.calls - calls == len(_NAMES)
    fleet.run(10.0)
    # After that, only the reader calls the store again.
    assert fleet.store.calls - calls == len(_NAMES) + 20


def test_log_names_the_source_and_size_of_changes(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against late changes whose way to the host is unknown."""
    caplog.set_level('INFO')
    fleet = _Fleet(_NAMES)
    fleet.run(5.0)
    reader = _reader(_NAMES, 'h0')
    caplog.clear()
    fleet.store.revision = 5
    fleet.run(1.0)
    sources = [
        r.getMessage().partition('revision 5 from ')[2]
        for r in caplog.records
        if 'revision 5' in r.getMessage()
    ]
    followers = len(_NAMES) - 1
    assert sorted(sources) == sorted(
        ['the store: 4, 4 bytes', *followers * [f'{reader}: 4, 4 bytes']]
    )


def test_end_of_an_outage_is_reported() -> None:
    fleet = _Fleet(_NAMES[:3])
    fleet.store.disconnected.add('h0')
    source = fleet.sources['h0']
    with pytest.raises(errors.ConnectionSilent):
        source.watch('', 1, 2.2)
    fleet.store.disconnected.clear()
    assert source.watch('', 1, 0.0).returned
    assert not source.watch('', 1, 0.0).returned


def test_lost_connection_is_no_outage() -> None:
    """Guards against using a removed searcher after a connection went silent.

    The store serves a new connection at once, so that it was there all the
    while, and the searchers could renew their entries.
    """
    fleet = _Fleet(_NAMES[:3])
    source = fleet.sources['h0']
    source.read('')
    fleet.store.silent.add('h0')
    with pytest.raises(errors.ConnectionSilent):
        source.watch('', 1, 2.2)
    fleet.store.revision = 5
    changes = source.watch('', 1, 0.0)
    assert changes.entries
    assert not changes.returned


def test_outage_behind_an_established_connection_is_reported() -> None:
    fleet = _Fleet(_NAMES[:3])
    source = fleet.sources['h0']
    source.read('')
    fleet.store.disconnected.add('h0')
    for _ in range(2):
        with pytest.raises(errors.ConnectionSilent):
            source.watch('', 1, 0.0)
    fleet.store.disconnected.clear()
    assert source.read('').returned
    assert not source.read('').returned


_FEW = _NAMES[:4]


def test_started_host_that_the_store_refuses_takes_the_entries_of_others() -> (
    None
):
    """Guards against a host that refuses callers while others know all.

    The store refuses single hosts for several seconds; others that it
    refuses too know nothing.
    """
    fleet = _Fleet(_FEW)
    fleet.store.disconnected |= {'h0', 'h1', 'h2'}
    for host in ('h0', 'h1'):
        with pytest.raises(errors.ConnectionSilent):
            fleet.sources[host].read('')
    fleet.store.revision = 7
    fleet.sources['h3'].read('')
    stored = fleet.sources['h0'].read('')
    assert [e.revision for e in stored.entries] == [7]
    assert stored.revision == 7
    # A host that took the entries from another one passes them on.
    fleet.unreachable.add('h3')
    assert fleet.sources['h1'].read('').revision == 7


def test_host_that_the_store_refuses_gets_changes_from_others() -> None:
    fleet = _Fleet(_FEW)
    for source in fleet.sources.values():
        source.read('')
    fleet.store.disconnected.add('h0')
    fleet.store.revision = 5
    fleet.run(1.0)
    assert fleet.revisions['h0'] == 5
    # The store's return is noticed by the next call.
    fleet.store.disconnected.clear()
    assert fleet.sources['h0'].watch('', 5, 0.0).returned


def test_hosts_are_asked_again_after_none_could_help() -> None:
    """Guards against a delay that each failed call of the store prolongs."""
    fleet = _Fleet(_FEW)
    for source in fleet.sources.values():
        source.read('')
    fleet.store.disconnected.add('h0')
    fleet.unreachable |= {'h1', 'h2', 'h3'}
    fleet.run(3.0)
    fleet.unreachable.clear()
    fleet.store.revision = 5
    fleet.run(1.5)
    assert fleet.revisions['h0'] == 5


def test_hosts_are_seldom_asked_while_the_store_is_down() -> None:
    """Guards against calls among all hosts during an outage of the store."""
    fleet = _Fleet(_FEW)
    for source in fleet.sources.values():
        source.read('')
    fleet.store.disconnected |= set(_FEW)
    fleet.run(3.0)
    calls = fleet.peer_calls
    fleet.run(10.0)
    assert fleet.peer_calls - calls <= 10 * 3 * len(_FEW)


def test_removed_entries_are_not_passed_on() -> None:
    """Guards against a searcher that is in use again after a restart."""
    fleet = _Fleet(_FEW)
    fleet.sources['h1'].read('')
    snapshot = fleet.relays['h1'].snapshot
    snapshot.apply(
        registrations.StoredEntries(
            [registrations.StoredEntry('k', 9, None)], 9
        )
    )
    fleet.store.disconnected.add('h0')
    with pytest.raises(errors.ConnectionSilent):
        fleet.sources['h0'].read('')
    stored = fleet.sources['h0'].read('')
    assert list(stored.entries) == []
    assert stored.revision == 9


def test_large_registry_is_read_from_the_store_only() -> None:
    """Guards against messages and memory that grow with the registry."""
    fleet = _Fleet(_FEW)
    fleet.store.content = bytes(3_000_000)
    fleet.sources['h1'].read('')
    fleet.store.disconnected.add('h0')
    for _ in range(3):
        with pytest.raises(errors.ConnectionSilent):
            fleet.sources['h0'].read('')


def test_single_failure_of_the_store_asks_no_hosts() -> None:
    """Guards against a late change after a connection went silent.

    The store answers on a new connection, while other hosts may not answer.
    """
    fleet = _Fleet(_FEW)
    for source in fleet.sources.values():
        source.read('')
    fleet.store.disconnected.add('h0')
    with pytest.raises(errors.ConnectionSilent):
        fleet.sources['h0'].watch('', 1, 2.2)
    assert fleet.peer_calls == 0
    fleet.store.disconnected.clear()
    fleet.store.revision = 5
    assert fleet.sources['h0'].watch('', 1, 0.0).revision == 5


class FollowersMachine(stateful.RuleBasedStateMachine):
    """A host that can reach the store gets each change in time.

    Readers may fail, be suspected or lose the store in any order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = _Fleet(_NAMES)
        self.fleet.run(6.0)
        self.changed_s = self.fleet.clock.monotonic()
        self.connected_s = dict.fromkeys(_NAMES, float('-inf'))

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def toggle_store_access(self, name: str) -> None:
        self.fleet.store.disconnected ^= {name}
        self.connected_s[name] = self.fleet.clock.monotonic()

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def disconnect_or_reconnect(self, name: str) -> None:
        self.fleet.unreachable ^= {name}

    @stateful.rule(suspected=strategies.sets(strategies.sampled_from(_NAMES)))
    def change_view(self, suspected: set[str]) -> None:
        self.fleet.view = _view(_NAMES, tuple(suspected))

    @stateful.rule()
    def publish(self) -> None:
        self.fleet.store.revision += 1
        self.changed_s = self.fleet.clock.monotonic()

    @stateful.rule(
        unreachable=strategies.booleans(), steps=strategies.integers(1, 12)
    )
    def publish_while_the_reader_fails(
        self, unreachable: bool, steps: int
    ) -> None:
        reader = registry_source.reader_for(_member('h0'), self.fleet.view)
        if reader is not None and unreachable:
            self.fleet.unreachable.add(reader.name)
        elif reader is not None:
            self.fleet.store.disconnected.add(reader.name)
        self.publish()
        self.run(steps)

    @stateful.rule(steps=strategies.integers(1, 12))
    def run(self, steps: int) -> None:
        self.fleet.run(steps / 2)

    @stateful.invariant()
    def hosts_with_store_access_have_the_newest_revision(self) -> None:
        now_s = self.fleet.clock.monotonic()
        if now_s - self.changed_s < _MAX_DELAY_S:
            return
        for name in _NAMES:
            disconnected = name in self.fleet.store.disconnected
            if (
                not disconnected
                and now_s - self.connected_s[name] >= _MAX_DELAY_S
            ):
                assert self.fleet.revisions[name] == self.fleet.store.revision


FollowersMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25
)
TestFollowers = FollowersMachine.TestCase
