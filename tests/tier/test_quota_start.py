"""Hosts that start together divide quotas while gossip spreads."""

import pytest

from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_hosts
from corianderport_tier.process import quota_messages
from corianderport_tier.process import quota_owner
from corianderport_tier.version import workspaces

from . import test_rumour_spread

_BOUNDS = quota_bucket.QuotaBounds(5, 0.25, 20)
_WORKSPACES = [workspaces.Workspace(f'w{n}', 0, 40, 40) for n in range(12)]
_MAX_PARTS = 1.15


class _Sending:
    """Names of the live hosts; the same object until they change."""

    def __init__(self, members: membership.Membership) -> None:
        self._members = members
        self._view: membership.View | None = None
        self._names: tuple[str, ...] = ()

    def __call__(self) -> tuple[str, ...]:
        if self._view is not self._members.view:
            self._view = self._members.view
            names = tuple(m.name for m in self._view.live)
            if names != self._names:
                self._names = names
        return self._names


def _owner(
    fleet: test_rumour_spread._Fleet, host: membership.Member
) -> quota_owner.QuotaOwner:
    members = fleet.members[host.name]
    return quota_owner.QuotaOwner(
        host.name,
        quota_hosts.MembershipHosts(
            members, _Sending(members), lambda: True, lambda: 1.0, ''
        ),
        quota_owner.WorkspaceIndex(lambda: _WORKSPACES),
        lambda: _BOUNDS,
        fleet.clock,
    )


def _parts(owners: list[quota_owner.QuotaOwner]) -> float:
    """Return the sum of the parts that hosts grant, per workspace."""
    granting = 0
    for workspace in _WORKSPACES:
        request = quota_messages.QuotaRequest(workspace.name, 1, 0)
        for owner in owners:
            try:
                owner.grant(request)
                granting += 1
            except errors.Refusal:
                continue
    return granting / quota_bucket.MAX_OWNERS / len(_WORKSPACES)


@pytest.mark.parametrize(('hosts', 'served_s'), [(6, 3), (36, 4), (80, 6)])
def test_parts_of_hosts_that_start_together(
    hosts: int, served_s: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against too many owners, or none, after a loss of power.

    The heartbeats of the real membership spread who is there.
    """
    monkeypatch.setattr(test_rumour_spread, '_HOSTS', hosts)
    fleet = test_rumour_spread._Fleet()
    owners = [_owner(fleet, host) for host in fleet.hosts]
    for host in fleet.hosts:
        for seed in fleet.hosts[: test_rumour_spread._SEEDS]:
            if seed is not host:
                fleet.exchange(host, seed, joining=True)
    parts = []
    for _ in range(10):
        for owner in owners:
            owner.expire()
        parts.append(_parts(owners))
        fleet.second()
    print(f'{hosts} hosts, after each second:', [round(p, 2) for p in parts])
    assert max(parts) <= _MAX_PARTS
    assert min(parts[served_s:]) >= 0.95
    assert parts[-1] == 1.0
