"""Tests of RegistryRelay, which relays store changes to other hosts."""

import contextlib

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import registry_relay
from corianderport_tier.version import registrations

_SMALLEST_LINK_BYTES_S = 10e6 / 8


def _entry(revision: int) -> registrations.StoredEntry:
    return registrations.StoredEntry(f'k{revision}', revision, b'')


def _changes(
    *revisions: int, returned: bool = False
) -> registrations.StoredEntries:
    return registrations.StoredEntries(
        [_entry(r) for r in revisions], max(revisions), returned
    )


class _Setting:
    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self.relay = registry_relay.RegistryRelay(self.clock)

    def registry_changes(self, after: int) -> list[int]:
        changes = self.relay.registry_changes(after, 0.0)
        return [e.revision for e in changes.entries]


@pytest.fixture(name='setting')
def _setting() -> _Setting:
    return _Setting()


def test_host_that_has_read_nothing_refuses(setting: _Setting) -> None:
    """Guards against an empty reply that looks like no changes.

    A host that has just started is called before its first read.
    """
    with pytest.raises(errors.NotReady):
        setting.registry_changes(0)


def test_changes_after_a_revision_are_relayed(setting: _Setting) -> None:
    setting.relay.reset(4)
    setting.relay.add_reply(4, _changes(5, 6))
    setting.relay.add_reply(6, _changes(7))
    assert setting.registry_changes(5) == [6, 7]
    assert setting.relay.registry_changes(7, 0.0).revision == 7


def test_gap_in_the_history_is_reported(setting: _Setting) -> None:
    """Guards against changes that a follower never receives.

    The relaying host has received the changes up to 9 through another
    reader, so it has not buffered them.
    """
    setting.relay.reset(4)
    setting.relay.add_reply(4, _changes(5))
    # The changes up to 9 came from another host.
    setting.relay.add_reply(9, _changes(10))
    with pytest.raises(errors.HistoryGone):
        setting.registry_changes(5)
    assert setting.registry_changes(9) == [10]


def test_history_is_bounded(setting: _Setting) -> None:
    setting.relay.reset(0)
    for revision in range(1, 400):
        setting.relay.add_reply(revision - 1, _changes(revision))
    with pytest.raises(errors.HistoryGone):
        setting.registry_changes(1)
    assert setting.registry_changes(390) == list(range(391, 400))


def test_buffered_changes_are_bounded_in_bytes() -> None:
    """Guards against large versions in series that use up the memory.

    The host keeps changes for other hosts, whether they ask for them or not.
    """
    relay = registry_relay.RegistryRelay(clock_module.ManualClock(), 1e12)
    relay.reset(0)
    for revision in range(1, 41):
        version = registrations.StoredEntry(
            'routing', revision, bytes(1_000_000)
        )
        relay.add_reply(
            revision - 1, registrations.StoredEntries([version], revision)
        )
    with pytest.raises(errors.HistoryGone):
        relay.registry_changes(20, 0.0)
    assert len(relay.registry_changes(39, 0.0).entries) == 1


def test_stale_host_refuses(setting: _Setting) -> None:
    """Guards against followers that miss changes during an outage.

    A reader that cannot reach the store would reply that there are no
    changes, although other hosts can still read them.
    """
    setting.relay.reset(4)
    setting.clock.advance(registry_relay.MAX_REPLY_AGE_S + 0.1)
    with pytest.raises(errors.NotReady):
        setting.registry_changes(4)


def test_end_of_an_outage_is_reported(setting: _Setting) -> None:
    setting.relay.reset(4)
    setting.relay.add_reply(4, _changes(5, returned=True))
    setting.relay.add_reply(5, _changes(6))
    assert setting.relay.registry_changes(4, 0.0).returned
    assert not setting.relay.registry_changes(5, 0.0).returned


def test_usual_changes_are_relayed_to_all_followers(setting: _Setting) -> None:
    """Guards against a store that each host reads for each searcher."""
    setting.relay.reset(0)
    for revision in range(1, 11):
        content = bytes(250)
        entry = registrations.StoredEntry(f'k{revision}', revision, content)
        setting.relay.add_reply(
            revision - 1, registrations.StoredEntries([entry], revision)
        )
        for _ in range(24):
            assert setting.registry_changes(revision - 1) == [revision]
        setting.clock.advance(0.4)


def test_large_change_does_not_queue_on_the_relaying_hosts_link(
    setting: _Setting,
) -> None:
    """Guards against a late version because one host sends it to all.

    A refused follower reads the change from the store at once.
    """
    content = bytes(262_144)
    version = registrations.StoredEntry('routing', 5, content)
    setting.relay.reset(4)
    setting.relay.add_reply(4, registrations.StoredEntries([version], 5))
    relayed_bytes = 0
    for _ in range(24):
        with contextlib.suppress(errors.Refusal):
            changes = setting.relay.registry_changes(4, 0.0)
            relayed_bytes += len(changes.entries) * len(content)
    assert relayed_bytes / _SMALLEST_LINK_BYTES_S <= 0.2
