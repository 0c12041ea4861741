"""Gathers that another host takes over, and what happens if it fails."""

import collections
import collections.abc

import pytest

from corianderport_tier import errors
from corianderport_tier.process import gather_capacity
from corianderport_tier.process import gather_roles
from corianderport_tier.process import membership
from corianderport_tier.request import forward_messages
from corianderport_tier import result_codes

from . import gather_network

_ATTEMPTS = 2
Gathered = forward_messages.Gathered
Failure = forward_messages.Failure


@pytest.fixture(name='network')
def _network() -> collections.abc.Iterator[gather_network.GatherNetwork]:
    with gather_network.GatherNetwork() as network:
        yield network


def _sends_by_service(
    network: gather_network.GatherNetwork,
) -> collections.Counter[str]:
    return collections.Counter(
        send.part.service.name
        for host in network.hosts.values()
        for send in host.sends
    )


def _kinds(host: gather_network.SimulatedHost) -> list[str]:
    return [decision.kind for decision in host.log.recent()]


def test_merged_answer_of_another_host_is_relayed_whole(
    network: gather_network.GatherNetwork,
) -> None:
    """Guards against parts or records that are lost on the way back."""
    request = network.start('h1')
    network.run(0.2)
    assert isinstance(request.answer, Gathered)
    assert len(request.answer.execution_proofs) == 63
    assert len(request.answer.body) == 32
    assert not network.hosts['h1'].sends
    assert 'gather-offered' in _kinds(network.hosts['h1'])
    assert 'gathered-for-host' in _kinds(network.hosts['wide'])


def test_gather_runs_here_if_the_other_host_is_silent(
    network: gather_network.GatherNetwork,
) -> None:
    """Guards against a request that waits for a host that was cut off."""
    network.hosts['wide'].silent = True
    first = network.start('h1')
    network.run(0.4)
    assert isinstance(first.answer, Gathered)
    assert network.hosts['wide'].gathers_received == 0
    second = network.start('h1')
    network.run(0.01)
    # The second request is not held up by the offer.
    assert len(network.hosts['h1'].sends) >= 2 * 63
    network.run(0.4)
    assert isinstance(second.answer, Gathered)
    assert max(_sends_by_service(network).values()) <= 2 * _ATTEMPTS


def test_parts_are_not_sent_again_after_another_host_had_them(
    network: gather_network.GatherNetwork,
) -> None:
    """Guards against more searchers for a request than its route permits."""
    network.hosts['wide'].breaks = True
    request = network.start('h1')
    network.run(0.1)
    assert isinstance(request.answer, Failure)
    assert request.answer.code is result_codes.ResultCode.OUTCOME_UNKNOWN
    assert request.answer.retry_after_s is None
    assert not network.hosts['h1'].sends


def test_gather_runs_here_under_a_newer_version(
    network: gather_network.GatherNetwork,
) -> None:
    """Guards against an answer by an older version than was in force."""
    network.hosts['h1'].apply(network.routing_version(2, services=7))
    request = network.start('h1')
    network.run(0.2)
    assert isinstance(request.answer, Gathered)
    assert len(request.answer.execution_proofs) == 7
    assert network.hosts['wide'].gathers_received == 0


def test_other_host_stops_when_the_caller_leaves(
    network: gather_network.GatherNetwork,
) -> None:
    """Guards against searchers that work for nobody."""
    request = network.start('h1')
    network.run(0.005)
    wide = network.hosts['wide']
    assert len(wide.sends) == 63
    assert request.caller.on_disconnect is not None
    request.caller.on_disconnect()
    network.run(0.002)
    assert request.answer is None
    assert all(send.cancelled for send in wide.sends)
    network.run(0.2)
    assert len(wide.sends) == 63


def test_nothing_is_sent_once_the_caller_has_left(
    network: gather_network.GatherNetwork,
) -> None:
    """Guards against parts that are sent when an offer ends too late."""
    host = network.hosts['h1']
    network.hosts['wide'].silent = True
    request = network.request('h1')

    def leave(kind: str) -> None:
        if kind == 'gather-offered':
            assert request.caller.on_disconnect is not None
            request.caller.on_disconnect()
            network.clock.advance(0.02)

    host.on_decision = leave
    network.submit(request.run)
    network.run(0.3)
    assert request.elapsed_s < 0.3
    assert request.answer is None
    assert not host.sends


def test_searchers_that_are_lost_are_hedged_by_the_other_host(
    network: gather_network.GatherNetwork,
) -> None:
    """Guards against attempts of which neither host makes use."""
    network.hosts['wide'].lost_services = {f's{n:02}' for n in range(4)}
    request = network.start('h1')
    network.run(0.9)
    assert max(_sends_by_service(network).values()) == _ATTEMPTS
    # No answer has enough parts.
    assert isinstance(request.answer, Failure)
    assert request.answer.retry_after_s is None


def test_stopping_host_takes_no_gathers(
    network: gather_network.GatherNetwork,
) -> None:
    """Guards against requests that a planned stop cuts off."""
    wide = network.hosts['wide']
    wide.forwarder.drain.begin(
        gather_network.deadline_after(network.clock, 5.0)
    )
    request = network.start('h1')
    network.run(0.2)
    assert isinstance(request.answer, Gathered)
    assert not wide.sends


def test_host_refuses_gathers_that_would_end_late() -> None:
    """Guards against a wide link that everybody chooses."""
    capacity = gather_capacity.GatherCapacity(gather_network.WIDE_LINK)
    with capacity.running(63, 80_000, 0.07):
        capacity.record(0.003)
        assert not capacity.available
        with pytest.raises(errors.Overloaded):
            with capacity.running(63, 80_000, 0.07):
                pass
    with capacity.running(63, 80_000, 0.07):
        pass


def test_hosts_with_equal_links_gather_for_themselves() -> None:
    """Guards against detours in fleets where no host is better."""
    members = tuple(
        membership.Member(f'h{n}', 'dc-a', f'h{n}:1', link_bytes_s=1e8)
        for n in range(6)
    )
    unknown = membership.Member('h6', 'dc-a', 'h6:1')
    view = membership.View(1, (*members, unknown), members, {})
    roles = gather_roles.GatherRoles(lambda: view)
    assert not roles.names
    assert not roles.members
