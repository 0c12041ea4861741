"""Counters of the bytes that a host exchanges."""

import concurrent.futures

import pytest

from corianderport_tier.process import host_places
from corianderport_tier.process import link_bytes
from corianderport_tier.process import membership

_Direction = link_bytes.Direction
_Kind = link_bytes.LinkKind
_Place = link_bytes.Place
_Total = link_bytes.LinkTotal


def test_counts_of_all_tasks_are_added_up() -> None:
    """Guards against concurrent increments that are lost."""
    links = link_bytes.LinkBytes('dc-a')

    def work(number: int) -> None:
        for _ in range(500):
            links.link(_Kind.SEARCHER, 'dc-b').sent(3, 1)
            links.link(_Kind.STORE).received(5)

    with concurrent.futures.ThreadPoolExecutor(8) as executor:
        list(executor.map(work, range(8)))
    assert links.totals() == (
        _Total(_Direction.SENT, _Kind.SEARCHER, _Place.OTHER, 12_000, 4_000),
        _Total(_Direction.RECEIVED, _Kind.STORE, _Place.UNKNOWN, 20_000, 0),
    )


@pytest.mark.parametrize('kind', list(_Kind))
@pytest.mark.parametrize('place', list(_Place))
def test_no_two_counters_share_a_key(
    kind: link_bytes.LinkKind, place: link_bytes.Place
) -> None:
    """Guards against bytes that appear under another kind or place."""
    links = link_bytes.LinkBytes('dc-a')
    data_centres = {_Place.OWN: 'dc-a', _Place.OTHER: 'dc-b'}
    link = links.link(kind, data_centres.get(place, ''))
    link.sent(1, 2)
    link.received(3, 4)
    assert links.totals() == (
        _Total(_Direction.SENT, kind, place, 1, 2),
        _Total(_Direction.RECEIVED, kind, place, 3, 4),
    )


def test_place_is_unknown_without_an_own_data_centre() -> None:
    """Guards against traffic that seems to leave an unnamed data centre."""
    links = link_bytes.LinkBytes()
    links.link(_Kind.QUOTA, 'dc-a').sent(1)
    (total,) = links.totals()
    assert total.place is _Place.UNKNOWN


def _view(epoch: int, *hosts: tuple[str, str]) -> membership.View:
    members = tuple(
        membership.Member(f'h{number}', data_centre, address)
        for number, (data_centre, address) in enumerate(hosts)
    )
    return membership.View(epoch, members, members, {})


def test_data_centre_of_an_address_follows_the_view() -> None:
    """Guards against a place that remains that of a host which has left.

    An address that hosts of several data centres share shows none of them.
    """
    view = _view(1, ('dc-a', '10.0.0.1:1'), ('dc-b', '10.0.0.2:1'))
    places = host_places.HostPlaces(lambda: view)
    ips = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
    assert [places.data_centre(ip) for ip in ips] == ['dc-a', 'dc-b', '']
    view = _view(
        2,
        ('dc-a', '10.0.0.1:1'),
        ('dc-b', '10.0.0.1:2'),
        ('dc-a', '10.0.0.1:3'),
        ('dc-c', '10.0.0.2:1'),
    )
    assert [places.data_centre(ip) for ip in ips] == ['', 'dc-c', '']
