"""Wire compatibility between hosts of an old and a new version."""

import pathlib
import re
import typing

import hypothesis
from hypothesis import strategies
import pytest
import thriftpy2
import thriftpy2.protocol
import thriftpy2.transport

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.version import registrations
from corianderport_wire.connection import heartbeat_codec
from corianderport_wire.connection import peer_codec
from corianderport_wire.connection import registry_codec

_IDL = pathlib.Path(peer_codec.__file__).parent.parent / 'peer.thrift'
_ADDED = """
struct Later {
    1: list<map<string, i64>> counts
}
"""


@pytest.fixture(scope='module')
def later(tmp_path_factory: pytest.TempPathFactory) -> typing.Any:
    """A later IDL in which each structure has two more optional fields."""
    text = re.sub(
        r'(struct \w+ \{)',
        r'\1\n    98: optional string added\n    99: optional Later more',
        _IDL.read_text(),
    )
    path = tmp_path_factory.mktemp('idl') / 'later.thrift'
    path.write_text(_ADDED + text)
    return thriftpy2.load(str(path), module_name='later_thrift')


def _rumour() -> membership.Rumour:
    return membership.Rumour(
        membership.Member('h', 'dc-a', '127.0.0.1:1', incarnation='i'),
        membership.Standing.SUSPECT,
        3,
    )


_MESSAGE = heartbeats.Heartbeat(
    sender=_rumour(),
    version=7,
    rumours=(_rumour(),),
    joining=True,
    known_change=0,
    last_change=2**40,
)


def _transfer(source: typing.Any, target: typing.Any) -> typing.Any:
    buffer = thriftpy2.transport.TMemoryBuffer()
    thriftpy2.protocol.TBinaryProtocol(buffer).write_struct(source)
    thriftpy2.protocol.TBinaryProtocol(buffer).read_struct(target)
    return target


def test_later_version_reads_heartbeat(later: typing.Any) -> None:
    """Guards against new fields that are required.

    An old host does not send the fields that a later version adds.
    """
    fields = heartbeat_codec.heartbeat_to_thrift(_MESSAGE)
    read = _transfer(fields, later.Heartbeat())
    assert (read.version, read.added, read.more) == (7, None, None)
    assert heartbeat_codec.heartbeat_from_thrift(read) == _MESSAGE


def test_old_version_reads_heartbeat(later: typing.Any) -> None:
    """Guards against an old host that fails on unknown fields.

    A later host sends fields and values that the old version lacks.
    """
    fields = _transfer(
        heartbeat_codec.heartbeat_to_thrift(_MESSAGE), later.Heartbeat()
    )
    fields.added = 'x'
    fields.more = later.Later(counts=[{'a': 1}])
    fields.sender.more = later.Later(counts=[])
    # A value that the old version does not know.
    fields.rumours[0].standing = 9
    read = heartbeat_codec.heartbeat_from_thrift(
        _transfer(fields, peer_codec.PEER.Heartbeat())
    )
    assert read.rumours[0].standing is membership.Standing.GONE
    assert read.sender == _MESSAGE.sender
    assert read.joining


@hypothesis.given(
    strategies.lists(
        strategies.builds(
            registrations.StoredEntry,
            strategies.text(max_size=20),
            strategies.integers(0, 2**63 - 1),
            strategies.none() | strategies.binary(max_size=20),
        ),
        max_size=4,
    )
)
def test_any_registry_changes_can_be_relayed(
    changes: list[registrations.StoredEntry],
) -> None:
    """Guards against one odd entry that keeps the others from being relayed.

    Keys and contents come from any program that writes the store.
    """
    stored = registrations.StoredEntries(changes, 2**63 - 1)
    read = _transfer(
        registry_codec.entries_to_thrift(stored),
        peer_codec.PEER.StoredEntries(),
    )
    assert registry_codec.entries_from_thrift(read) == stored


@pytest.mark.parametrize('missing', ['key', 'revision'])
def test_incomplete_registry_entry_is_a_transport_error(missing: str) -> None:
    """Guards against an entry that the directory cannot compare.

    The follower then reads the store itself.
    """
    fields = registry_codec.entries_to_thrift(
        registrations.StoredEntries(
            [registrations.StoredEntry('a', 3, b'{}')], 6
        )
    )
    setattr(fields.entries[0], missing, None)
    read = _transfer(fields, peer_codec.PEER.StoredEntries())
    with pytest.raises(errors.TransportError):
        registry_codec.entries_from_thrift(read)


def test_registry_changes_keep_their_content() -> None:
    """Guards against confusing empty content with a removed key."""
    stored = registrations.StoredEntries(
        [
            registrations.StoredEntry('a', 3, b'\x00{}'),
            registrations.StoredEntry('b', 4, b''),
            registrations.StoredEntry('c', 5, None),
        ],
        6,
        returned=True,
    )
    read = _transfer(
        registry_codec.entries_to_thrift(stored),
        peer_codec.PEER.StoredEntries(),
    )
    assert registry_codec.entries_from_thrift(read) == stored


class _TwoHosts:
    """The clocks of two hosts, which started at different times."""

    def __init__(self) -> None:
        self.caller = clock_module.ManualClock(50.0)
        self.peer = clock_module.ManualClock(9_000.0)

    def pass_time(self, seconds: float) -> None:
        self.caller.advance(seconds)
        self.peer.advance(seconds)


def _relayed(
    stored: registrations.StoredEntries, hosts: _TwoHosts, held_s: float
) -> registrations.StoredEntries:
    """Send a reply from one host to another; each way takes 0.1 s."""
    caller = registry_codec.CallTimer(hosts.caller)
    hosts.pass_time(0.1)
    peer = registry_codec.CallTimer(hosts.peer)
    hosts.pass_time(held_s)
    fields = peer.entries_to_thrift(stored)
    hosts.pass_time(0.1)
    read = _transfer(fields, peer_codec.PEER.StoredEntries())
    return caller.entries_from_thrift(read)


def test_age_of_relayed_entries_counts_from_the_sending_of_the_call() -> None:
    """Guards against relayed changes that look newer than they are.

    The reader's knowledge dates from a time during the call, and the clocks
    of the hosts have nothing in common.
    """
    hosts = _TwoHosts()
    sent_s = hosts.caller.boottime()
    current_s = hosts.peer.boottime() + 0.5
    stored = registrations.StoredEntries([], 6, as_of_s=current_s)
    read = _relayed(stored, hosts, held_s=1.0)
    # Current 0.5 s after the sending, but the way to the peer is unknown.
    assert read.as_of_s == pytest.approx(sent_s + 0.4)


def test_suspension_of_the_reader_makes_its_reply_older() -> None:
    """Guards against a reader that resumes with what it knew before."""
    hosts = _TwoHosts()
    stored = registrations.StoredEntries([], 6, as_of_s=hosts.peer.boottime())
    hosts.peer.suspend(60.0)
    sent_s = hosts.caller.boottime()
    read = _relayed(stored, hosts, held_s=1.0)
    assert read.as_of_s is not None
    assert read.as_of_s <= sent_s - 59.0


def test_reply_of_an_earlier_version_proves_no_age() -> None:
    """Guards against a follower that trusts a host without ages."""
    hosts = _TwoHosts()
    stored = registrations.StoredEntries([], 6)
    assert _relayed(stored, hosts, held_s=1.0).as_of_s is None


@pytest.mark.parametrize(
    'age_ms, held_ms',
    [
        (None, 5.0),
        (5.0, None),
        (-1.0, 5.0),
        (5.0, -1.0),
        (float('nan'), 5.0),
        (5.0, float('inf')),
    ],
)
def test_age_out_of_range_proves_nothing(
    age_ms: float | None, held_ms: float | None
) -> None:
    """Guards against knowledge from the future."""
    timer = registry_codec.CallTimer(clock_module.ManualClock())
    fields = registry_codec.entries_to_thrift(
        registrations.StoredEntries([], 6)
    )
    fields.age_ms, fields.held_ms = age_ms, held_ms
    assert timer.entries_from_thrift(fields).as_of_s is None


def test_call_held_for_longer_than_it_took_is_no_newer() -> None:
    """Guards against a peer whose clock runs ahead."""
    clock = clock_module.ManualClock()
    timer = registry_codec.CallTimer(clock)
    clock.advance(1.0)
    fields = registry_codec.entries_to_thrift(
        registrations.StoredEntries([], 6)
    )
    fields.age_ms, fields.held_ms = 0.0, 60_000.0
    assert timer.entries_from_thrift(fields).as_of_s == clock.boottime()
