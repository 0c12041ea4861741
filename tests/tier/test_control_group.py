"""Tests that several hosts agree on the configuration and the members."""

import pytest

from corianderport_testkit.process import control_group
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.process import readers

_NAMES = [f'host-{n}' for n in range(6)]
_STANDING = membership.Standing


def _converged_group() -> control_group.ControlGroup:
    group = control_group.ControlGroup(_NAMES)
    group.hosts['host-0'].store.offer(control_group.build_document(1))
    group.refresh_host_lists()
    group.run(4.0)
    return group


def test_version_reaches_all_within_two_periods() -> None:
    """A version must spread by heartbeats, not only by polling.

    Only one host has read the new version. The next poll of the other
    hosts would come too late.
    """
    group = _converged_group()
    control_group.offer(group.hosts['host-3'], 2)
    group.run(1.0)
    assert {h.store.version for h in group.hosts.values()} == {2}


def test_invalid_document_is_not_applied() -> None:
    """An invalid document must not be applied, not even in part.

    The document has a newer version but lacks everything else.
    """
    group = _converged_group()
    with pytest.raises(errors.ConfigurationInvalid):
        group.hosts['host-0'].store.offer(b'{"version": 9}')
    group.run(2.0)
    assert {h.store.version for h in group.hosts.values()} == {1}


def test_reader_duty_moves_when_a_reader_dies() -> None:
    """Every data centre must have readers after a reader has failed.

    Each host decides by its own view whether it is a reader, so the other
    hosts have to detect the failure.
    """
    group = control_group.ControlGroup([f'host-{n}' for n in range(12)])
    group.hosts['host-0'].store.offer(control_group.build_document(1))
    group.refresh_host_lists()
    group.run(4.0)

    def readers_per_data_centre() -> dict[str, int]:
        count: dict[str, int] = {}
        for host in group.hosts.values():
            if readers.is_reader(host.members):
                centre = host.own.data_centre
                count[centre] = count.get(centre, 0) + 1
        return count

    assert readers_per_data_centre() == {'dc-a': 2, 'dc-b': 2, 'dc-c': 2}
    reader = next(
        n for n, h in group.hosts.items() if readers.is_reader(h.members)
    )
    group.kill(reader)
    group.run(8.0)
    assert readers_per_data_centre() == {'dc-a': 2, 'dc-b': 2, 'dc-c': 2}


def test_new_host_without_a_service_gets_the_peers_version() -> None:
    """A restarted host must not return to an older version.

    It starts without a configuration while the configuration service is
    down, so that it can get the version from another host only.
    """
    group = _converged_group()
    control_group.offer(group.hosts['host-5'], 7)
    group.run(2.0)
    for name in _NAMES[:5]:
        group.kill(name)
        group.start(name)
    group.refresh_host_lists()
    for name in _NAMES[:5]:
        assert not group.hosts[name].control.joined
    group.run(2.0)
    assert all(h.control.joined for h in group.hosts.values())
    assert {h.store.version for h in group.hosts.values()} == {7}


def test_resumed_host_does_not_suspect_others() -> None:
    """A host that was paused must not declare the others dead.

    It has missed their messages, so it has to wait for a reply first.
    """
    group = _converged_group()
    group.paused.add('host-2')
    group.run(20.0)
    group.partition({'host-2'}, set(_NAMES) - {'host-2'})
    group.paused.clear()
    group.run(5.0)
    standings = group.hosts['host-2'].members.view.standings
    assert set(standings.values()) == {_STANDING.ALIVE}
    assert group.hosts['host-2'].members.awaiting_reply
    assert (
        group.hosts['host-0'].members.view.standings['host-2']
        is _STANDING.DEAD
    )


def test_receivers_of_heartbeats_do_not_grow_with_the_fleet() -> None:
    """A host must not send heartbeats to all other hosts.

    The number of heartbeats would grow with the square of the number of
    hosts.
    """
    group = control_group.ControlGroup([f'host-{n}' for n in range(60)])
    group.hosts['host-0'].store.offer(control_group.build_document(1))
    group.refresh_host_lists()
    group.run(2.0)
    sent = [len(h.control.active) for h in group.hosts.values()]
    # Four neighbours on the ring and two random ones.
    assert max(sent) <= 6
    assert {h.store.version for h in group.hosts.values()} == {1}


def test_unchanged_host_list_creates_no_new_view() -> None:
    """Reading an unchanged host list must not create a new view.

    Neighbours and warming hosts are recomputed for each view.
    """
    group = _converged_group()
    epochs = [h.members.view.epoch for h in group.hosts.values()]
    for _ in range(10):
        group.refresh_host_lists()
        group.run(0.5)
    assert [h.members.view.epoch for h in group.hosts.values()] == epochs


def test_one_host_warms_each_searcher_up() -> None:
    """Only one host at a time must send to a cold searcher.

    Each host decides by its own view whether it warms a searcher up.
    """
    group = _converged_group()
    warming_hosts = [group.hosts_warming(s) for s in control_group.SEARCHERS]
    assert {len(names) for names in warming_hosts} == {1}
    assert len({names[0] for names in warming_hosts}) > 1


def test_warming_moves_when_a_host_dies() -> None:
    """A cold searcher must not be left without a host that warms it up.

    The host that warms it up fails.
    """
    group = _converged_group()
    searcher = control_group.SEARCHERS[0]
    (old_host,) = group.hosts_warming(searcher)
    group.kill(old_host)
    group.run(2.0)
    (new_host,) = group.hosts_warming(searcher)
    assert new_host != old_host
