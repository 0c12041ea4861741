"""StoreRegistry: pages, watches and responses of a failing store."""

import collections.abc

import pytest

from corianderport_platform import store
from corianderport_tier import errors

from . import fakes


@pytest.fixture
def served() -> collections.abc.Iterator[fakes.Store]:
    started = fakes.Store()
    yield started
    started.close()


@pytest.fixture
def registry(served: fakes.Store) -> store.StoreRegistry:
    return store.StoreRegistry(served.address)


def test_all_pages_are_read(
    served: fakes.Store, registry: store.StoreRegistry
) -> None:
    """Guards against losing the entries after the first page.

    The store returns a limited number of entries at a time.
    """
    for number in range(5):
        served.put(f'servers/i-{number}', b'unreadable')
    served.put('other/x', b'')
    listing = registry.read('servers/')
    assert [e.key for e in listing.entries] == [
        f'servers/i-{n}' for n in range(5)
    ]
    assert listing.revision == 7


def test_watch_returns_changes_in_their_order(
    served: fakes.Store, registry: store.StoreRegistry
) -> None:
    """Guards against changes that are lost or reordered.

    A key is written and removed before the watch, which must return both
    changes and not only the last state.
    """
    listing = registry.read('op/')
    served.put('op/evacuate/west-a', {})
    served.remove('op/evacuate/west-a')
    changes = registry.watch('op/', listing.revision, 5.0)
    assert [(e.key, e.content) for e in changes.entries] == [
        ('op/evacuate/west-a', b'{}'),
        ('op/evacuate/west-a', None),
    ]
    assert registry.watch('op/', changes.revision, 0.0).entries == []


def test_lost_history(
    served: fakes.Store, registry: store.StoreRegistry
) -> None:
    """Guards against waiting for changes that the store has discarded.

    The watch begins before the oldest revision of the store.
    """
    served.oldest = 100
    with pytest.raises(errors.HistoryGone):
        registry.watch('op/', 1, 1.0)


def test_reply_that_takes_longer_than_a_call_arrives_in_the_end(
    served: fakes.Store, registry: store.StoreRegistry
) -> None:
    """Guards against a host whose link is too slow for a large version.

    Each call would end before the whole reply has arrived.
    """
    served.put('op/config', bytes(1_000))
    served.transfer_s = 1.4 * store.CALL_TIMEOUT_S
    with pytest.raises(errors.ConnectionSilent):
        registry.read('op/')
    assert len(registry.read('op/').entries) == 1


@pytest.mark.parametrize(
    'body',
    [
        b'{}',
        b'[]',
        b'null',
        b'"items"',
        b'{"current_rev": "x", "items": [], "events": []}',
        b'{"current_rev": 4, "items": {}, "events": {"a": 1}}',
        b'{"current_rev": 4, "items": [7], "events": [7]}',
        b'{"current_rev": 4, "items": [{"rev": 3}], "events": [{"rev": 3}]}',
        b'{"current_rev": 4, "items": [{"key": 5, "rev": 3, "value": ""}],'
        b' "events": [{"key": 5, "rev": 3, "value": ""}]}',
        b'{"current_rev": 4, "items": [{"key": "k", "rev": []}],'
        b' "events": [{"key": "k", "rev": []}]}',
        b'{"current_rev": 4, "items": [{"key": "k", "rev": 1e30}],'
        b' "events": [{"key": "k", "rev": 1e30}]}',
        b'{"current_rev": 1e30, "items": [], "events": []}',
        b'{"current_rev": 1e400, "items": [], "events": []}',
        b'[' * 100_000,
    ],
)
def test_malformed_reply_is_a_transport_error(
    served: fakes.Store, registry: store.StoreRegistry, body: bytes
) -> None:
    """Guards against a host that never gets another version.

    Any other error ends the task that reads the store.
    """
    served.malformed = body
    with pytest.raises(errors.TransportError):
        registry.read('op/')
    with pytest.raises(errors.TransportError):
        registry.watch('op/', 3, 0.0)


@pytest.mark.parametrize(
    'value', ['"%%"', '"=A=="', '5', 'null', '[]', '"\\u00e9"']
)
def test_value_in_another_encoding_is_empty(
    served: fakes.Store, registry: store.StoreRegistry, value: str
) -> None:
    """Guards against one value that hides the other entries.

    Each read logs nothing; the directory logs the entry once.
    """
    items = (
        f'[{{"key": "a", "rev": 2, "value": {value}}},'
        ' {"key": "b", "rev": 3, "value": "e30="}]'
    )
    served.malformed = f'{{"current_rev": 4, "items": {items}}}'.encode()
    odd, good = registry.read('').entries
    assert odd.content in (b'', None)
    assert good.content == b'{}'


@pytest.mark.parametrize('status', [429, 503, 500])
def test_failing_store(
    served: fakes.Store, registry: store.StoreRegistry, status: int
) -> None:
    """Guards against an error status taken for an empty registry.

    The store responds without a list of entries when it fails.
    """
    served.status = status
    with pytest.raises(errors.TransportError):
        registry.read('op/')


@pytest.mark.parametrize(
    ('status', 'unavailable'), [(503, True), (429, False)]
)
def test_refused_call_is_no_outage(
    served: fakes.Store,
    registry: store.StoreRegistry,
    status: int,
    unavailable: bool,
) -> None:
    """A store that limits the rate of calls is available."""
    served.status = status
    with pytest.raises(errors.ConnectionBroken) as failure:
        registry.watch('op/', 3, 0.0)
    assert not failure.value.fresh
    assert isinstance(failure.value, errors.StoreUnavailable) is unavailable
