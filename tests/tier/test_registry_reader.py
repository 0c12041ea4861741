"""Tests of RegistryReader: changes, retries and store outages."""

import collections
import random
import typing

import attrs
import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import registry_reader
from corianderport_tier.process import store_freshness
from corianderport_tier.version import registrations

from . import entries

_EMPTY = registrations.StoredEntries((), 3)


_VALUES: typing.Any = {
    ('s1', b''): entries.registration('s1'),
    ('routing', b''): entries.routing(2, entries.route()),
}


def _stored(revision: int, key: str) -> registrations.StoredEntry:
    return registrations.StoredEntry(key, revision, b'')


class _Directory:
    """Records the calls of the reader."""

    def __init__(self) -> None:
        self.applied: list[tuple[str, bool]] = []
        self.changes: typing.Any = None

    def replace(
        self, prefix: str, listing: registrations.Listing, returned: bool
    ) -> None:
        self.applied.append((f'replace {prefix}', returned))

    def apply(self, changes: typing.Any, returned: bool = False) -> None:
        self.applied.append(('apply', returned))
        self.changes = changes


class _Registry:
    """Registry that replies from a script."""

    def __init__(self, *script: object) -> None:
        self.script = collections.deque(script)
        self.calls: list[tuple[str, float]] = []

    def read(self, prefix: str) -> registrations.StoredEntries:
        return self._next(f'read {prefix}', 0.0)

    def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> registrations.StoredEntries:
        return self._next(f'watch {after}', wait_s)

    def _next(self, call: str, wait_s: float) -> registrations.StoredEntries:
        self.calls.append((call, wait_s))
        answer = self.script.popleft()
        if isinstance(answer, Exception):
            raise answer
        assert isinstance(answer, registrations.StoredEntries)
        return answer


class _ImmediateClock(clock_module.ManualClock):
    """Clock whose waits advance it instead of blocking."""

    def wait(self, condition: typing.Any, timeout_s: float | None) -> bool:
        self.advance(timeout_s or 0.0)
        return False


def _reader(
    registry: _Registry,
    directory: _Directory,
    freshness: store_freshness.StoreFreshness | None = None,
) -> registry_reader.RegistryReader:
    return registry_reader.RegistryReader(
        'op/',
        registry,
        lambda key, content: _VALUES[key, content],
        typing.cast(typing.Any, directory),
        _ImmediateClock(),
        registry_reader.ReaderTimes(),
        random.Random(1),
        freshness,
    )


@pytest.fixture
def directory() -> _Directory:
    return _Directory()


def test_first_watch_after_a_failure_returns_at_once(
    directory: _Directory,
) -> None:
    """A long watch begun during an outage would delay noticing its end."""
    silent = errors.ConnectionSilent('no answer')
    registry = _Registry(_EMPTY, silent, _EMPTY, _EMPTY)
    reader = _reader(registry, directory)
    for _ in range(4):
        reader.step()
    waits = [wait_s for call, wait_s in registry.calls if 'watch' in call]
    assert waits == [4.0, 0.0, 4.0]


def test_changed_length_of_a_watch_applies_to_the_next_one(
    directory: _Directory,
) -> None:
    """Guards against settings that are read anew and have no effect."""
    registry = _Registry(_EMPTY, _EMPTY, _EMPTY)
    reader = _reader(registry, directory)
    for _ in range(2):
        reader.step()
    reader.set_watch_s(1.5)
    reader.step()
    waits = [wait_s for call, wait_s in registry.calls if 'watch' in call]
    assert waits == [4.0, 1.5]


@pytest.mark.parametrize('returned', [False, True])
def test_end_of_an_outage_is_passed_on(
    directory: _Directory, returned: bool
) -> None:
    """Guards against a failed call of this host taken for an outage.

    The source of the entries tells whether the store was unavailable.
    """
    change = registrations.StoredEntries(
        (_stored(4, 's1'),), 4, returned=returned
    )
    registry = _Registry(
        _EMPTY,
        errors.ConnectionBroken('reset'),
        change,
        errors.HistoryGone('410'),
        attrs.evolve(_EMPTY, returned=returned),
    )
    reader = _reader(registry, directory)
    for _ in range(5):
        reader.step()
    assert directory.applied[1:] == [
        ('apply', returned),
        ('replace op/', returned),
    ]


@pytest.mark.parametrize(
    'error',
    [
        errors.HistoryGone('410'),
        errors.ReplyIncomplete('timed out with 0.9 of 1.3 MB received'),
        errors.ReplyTooLarge('maximum file size exceeded'),
    ],
)
def test_changes_that_cannot_be_fetched_cause_a_full_read(
    directory: _Directory, error: errors.CorianderportError
) -> None:
    """Guards against a host that asks for the same changes for good.

    The changes include each version that was missed, so that they grow.
    """
    registry = _Registry(
        _EMPTY, error, registrations.StoredEntries((), 20), _EMPTY
    )
    reader = _reader(registry, directory)
    for _ in range(4):
        reader.step()
    assert [call for call, _ in registry.calls] == [
        'read op/',
        'watch 3',
        'read op/',
        'watch 20',
    ]


def test_routing_and_searchers_arrive_in_one_call(
    directory: _Directory,
) -> None:
    """Routing must not take effect before the searchers it refers to."""
    changes = registrations.StoredEntries(
        (
            _stored(4, 's1'),
            _stored(5, 'routing'),
        ),
        5,
    )
    registry = _Registry(_EMPTY, changes)
    reader = _reader(registry, directory)
    for _ in range(2):
        reader.step()
    assert [e.value for e in directory.changes] == [
        _VALUES['s1', b''],
        _VALUES['routing', b''],
    ]


def test_removed_key_has_no_value(directory: _Directory) -> None:
    removed = registrations.StoredEntry('s1', 4, None)
    registry = _Registry(_EMPTY, registrations.StoredEntries((removed,), 4))
    reader = _reader(registry, directory)
    for _ in range(2):
        reader.step()
    assert directory.changes == [registrations.Entry('s1', 4, None)]


def test_changes_after_an_outage_at_the_relaying_reader_are_flagged(
    directory: _Directory,
) -> None:
    """Guards against dropping searchers at once after a store outage.

    Their entries expire during the outage, and they need time to register
    again. Only the relaying reader has noticed the outage.
    """
    change = registrations.StoredEntries((_stored(4, 's1'),), 4, returned=True)
    reader = _reader(_Registry(_EMPTY, change), directory)
    for _ in range(2):
        reader.step()
    assert directory.applied[1:] == [('apply', True)]


def test_retry_delay_has_jitter_and_a_maximum(directory: _Directory) -> None:
    failures = [errors.ConnectFailed('refused') for _ in range(12)]
    registry = _Registry(*failures)
    clock = _ImmediateClock()
    reader = registry_reader.RegistryReader(
        'op/',
        registry,
        lambda key, content: _VALUES[key, content],
        typing.cast(typing.Any, directory),
        clock,
        registry_reader.ReaderTimes(),
        random.Random(1),
    )
    gaps = []
    for _ in failures:
        before_s = clock.monotonic()
        reader.step()
        gaps.append(clock.monotonic() - before_s)
    assert max(gaps) <= 0.5
    assert gaps[0] <= 0.1


def _freshness(
    clock: clock_module.ManualClock,
) -> store_freshness.StoreFreshness:
    return store_freshness.StoreFreshness(
        clock, decision_log.DecisionLog(), lambda: True, 5.0
    )


def test_age_is_recorded_after_the_entries_are_applied() -> None:
    """Guards against an age that is renewed before the keys are.

    A request that arrives in between would be served with the old keys.
    """
    clock = clock_module.ManualClock()
    freshness = _freshness(clock)
    ages_s: list[float] = []

    class _RecordingDirectory(_Directory):
        def replace(self, *arguments: typing.Any) -> None:
            ages_s.append(freshness.age_s)

        def apply(self, *arguments: typing.Any) -> None:
            ages_s.append(freshness.age_s)

    now_s = clock.boottime()
    registry = _Registry(
        attrs.evolve(_EMPTY, as_of_s=now_s - 3.0),
        registrations.StoredEntries((_stored(4, 's1'),), 4, as_of_s=now_s),
        attrs.evolve(_EMPTY, as_of_s=now_s + 1.0),
    )
    reader = _reader(registry, _RecordingDirectory(), freshness)
    reader.step()
    assert freshness.age_s == 3.0
    reader.step()
    assert freshness.age_s == 0.0
    assert ages_s == [float('inf'), 3.0]
    # A reply without changes renews the age too.
    reader.step()
    assert freshness.age_s == -1.0


def test_watch_is_short_enough_for_the_age(directory: _Directory) -> None:
    """Guards against keys refused between two long watches.

    Without strict mode the watch is as long as before.
    """
    registry = _Registry(*[_EMPTY] * 4)
    freshness = _freshness(clock_module.ManualClock())
    reader = _reader(registry, directory, freshness)
    reader.step()
    reader.step()
    freshness.set_revoke_s(None)
    reader.step()
    assert [wait_s for _, wait_s in registry.calls] == [0.0, 1.5, 4.0]
