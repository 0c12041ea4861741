"""corianderport_testkit.process.control_group

The control planes of several hosts, with a manual clock and fake links.
"""

import collections.abc
import concurrent.futures
import random
import typing

from corianderport_testkit import clock as testkit_clock
from corianderport_testkit.version import deployments
from corianderport_tier import errors
from corianderport_tier.process import configuration_store
from corianderport_tier.process import heartbeat_sender
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import membership_task
from corianderport_tier.process import warming_hosts
from corianderport_tier.version import configuration
from corianderport_tier.version import registrations
from corianderport_wire.version import document

__all__ = [
    'SEARCHERS',
    'ControlGroup',
    'Host',
    'build_document',
    'offer',
]

_DEPLOYMENT = deployments.Deployment(services=4, shards=1, documents=8)
_SEARCHER_NAMES = [
    name
    for centre in deployments.DATA_CENTRES
    for name in _DEPLOYMENT.searcher_names(centre)
]
_ADDRESSES = {
    name: f'127.0.0.1:{number + 1}'
    for number, name in enumerate(_SEARCHER_NAMES)
}
SEARCHERS = tuple(
    searcher
    for service in _DEPLOYMENT.build(1, _ADDRESSES).services.values()
    for searcher in service.searchers
)


def build_document(
    version: int, out_of_service: collections.abc.Container[str] = ()
) -> bytes:
    """Return a valid document."""
    config = _DEPLOYMENT.build(version, _ADDRESSES, out_of_service)
    return document.DocumentCodec().encode(config)


def offer(
    host: 'Host',
    version: int,
    out_of_service: collections.abc.Container[str] = (),
) -> None:
    """Offer a host a new version, as if the platform had published it."""
    try:
        host.store.offer(build_document(version, out_of_service))
    except errors.ConfigurationStale:
        return


class _InlineExecutor(concurrent.futures.Executor):
    """Runs each job in ``submit``, except the loop of a heartbeat sender.

    ``Host.step`` makes the exchanges of the senders instead.
    """

    def submit(  # type: ignore[override]
        self, call: typing.Any, /, *arguments: typing.Any
    ) -> typing.Any:
        if (
            getattr(call, '__func__', None)
            is not heartbeat_sender.HeartbeatSender.run
        ):
            call(*arguments)


class _Link:
    """A connection that checks on each call that its peer is reachable."""

    def __init__(
        self, group: 'ControlGroup', source: str, target: str
    ) -> None:
        self._group = group
        self._source = source
        self._target = target
        self._incarnation = group.hosts[target].incarnation

    def heartbeat(
        self, message: heartbeats.Heartbeat, timeout_s: float
    ) -> heartbeats.Heartbeat:
        host = self._receiver()
        reply = host.exchange.receive(message)
        self._receiver()
        return reply

    def configuration(
        self, known_version: int, timeout_s: float
    ) -> bytes | None:
        accepted = self._receiver().store.accepted()
        newer = accepted.configuration.version > known_version
        return accepted.document if newer else None

    def registry_changes(
        self, after: int, wait_s: float, timeout_s: float
    ) -> registrations.StoredEntries:
        raise NotImplementedError

    def registry_entries(
        self, timeout_s: float
    ) -> registrations.StoredEntries:
        raise NotImplementedError

    def act_with_ticket(
        self, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        raise NotImplementedError

    def hand_over(self, part: typing.Any, timeout_s: float) -> None:
        raise NotImplementedError

    def quota(self, request: typing.Any, timeout_s: float) -> typing.Any:
        raise NotImplementedError

    def gather_availability(self, timeout_s: float) -> typing.Any:
        raise NotImplementedError

    def gather(self, call: typing.Any, timeout_s: float) -> typing.Any:
        raise NotImplementedError

    def abort(self) -> None:
        raise NotImplementedError

    def close(self) -> None:
        return

    def _receiver(self) -> 'Host':
        host = self._group.hosts.get(self._target)
        if host is None or host.incarnation != self._incarnation:
            raise errors.ConnectionBroken('reset')
        if not self._group.reachable(self._source, self._target):
            raise errors.ConnectionSilent('no reply from the peer')
        return host


class _Dialer:
    """Opens connections from one host to the others."""

    def __init__(self, group: 'ControlGroup', source: str) -> None:
        self._group = group
        self._source = source

    def dial(self, member: membership.Member, timeout_s: float) -> _Link:
        if not self._group.reachable(self._source, member.name):
            raise errors.ConnectFailed('no route to the peer')
        host = self._group.hosts.get(member.name)
        if host is None or host.own.peer_address != member.peer_address:
            raise errors.ConnectRefused('no host listens on the address')
        return _Link(self._group, self._source, member.name)


class Host:
    """The control plane of one host."""

    def __init__(self, group: 'ControlGroup', own: membership.Member) -> None:
        clock = group.clock
        self.own = own
        self.store = configuration_store.ConfigurationStore(
            document.DocumentCodec(), clock
        )
        self.members = membership.Membership(own, clock, self.store.region_of)
        self.warming = warming_hosts.WarmingHosts(
            self.members, self.store.region_of
        )
        executor = _InlineExecutor()
        dialer = _Dialer(group, own.name)
        self.exchange = heartbeats.HeartbeatExchange(
            self.members,
            lambda: self.store.version,
            group.version_callback(self),
        )
        self.control = membership_task.MembershipTask(
            self.members,
            self.store.region_of,
            self.exchange,
            dialer,
            executor,
            clock,
            membership_task.MembershipTaskTimes(),
            random.Random(own.name),
        )

    @property
    def incarnation(self) -> str:
        """Incarnation of the process, unique for each start."""
        return self.own.incarnation

    def step(self) -> None:
        """Run one period of this host's tasks."""
        self.control.step()
        for sender in self.control.active:
            sender.exchange()
        self.control.step()


class ControlGroup:
    """The hosts, the links between them and the host list."""

    def __init__(self, names: collections.abc.Sequence[str]) -> None:
        self.clock = testkit_clock.ManualClock()
        self.hosts: dict[str, Host] = {}
        self.host_list: dict[str, membership.Member] = {}
        self.paused: set[str] = set()
        self._partitions: dict[str, int] = {}
        self._start_count = 0
        for name in names:
            self.start(name)

    def start(self, name: str) -> Host:
        """Start a host, or restart it as a new incarnation."""
        self._start_count += 1
        number = int(name.rpartition('-')[2])
        own = membership.Member(
            name,
            deployments.DATA_CENTRES[number % 3],
            f'127.0.0.1:{self._start_count}',
            incarnation=f'{self._start_count:06d}',
        )
        host = Host(self, own)
        self.hosts[name] = host
        self.host_list[name] = membership.Member(
            name, own.data_centre, own.peer_address
        )
        return host

    def kill(self, name: str) -> None:
        """Crash a host; it stays on the host list."""
        del self.hosts[name]

    def partition(self, *groups: collections.abc.Iterable[str]) -> None:
        """Partition the network: hosts reach only their own group.

        Hosts that are in no group form one more.
        """
        self._partitions = {
            name: number
            for number, group in enumerate(groups)
            for name in group
        }

    def reachable(self, source: str, target: str) -> bool:
        """Whether a message between the two hosts arrives."""
        if source in self.paused or target in self.paused:
            return False
        return self._partitions.get(source, -1) == self._partitions.get(
            target, -1
        )

    def version_callback(self, host: Host) -> heartbeats.VersionCallback:
        """Return the pull of a host, which runs in the caller's thread."""

        def pull(member: membership.Member, version: int) -> None:
            if version <= host.store.version:
                return
            try:
                link = _Dialer(self, host.own.name).dial(member, 1.0)
                content = link.configuration(host.store.version, 1.0)
                if content is not None:
                    host.store.offer(content)
            except errors.CorianderportError:
                return

        return pull

    def refresh_host_lists(self) -> None:
        """Let every host that is not paused read the host list."""
        for name, host in self.hosts.items():
            if name not in self.paused:
                host.members.replace(self.host_list.values())

    def run(self, seconds: float, step_s: float = 0.5) -> None:
        """Advance all hosts that are not paused."""
        for _ in range(int(seconds / step_s)):
            self.clock.advance(step_s)
            for name in sorted(self.hosts):
                if name not in self.paused:
                    self.hosts[name].step()

    def hosts_warming(self, searcher: configuration.Searcher) -> list[str]:
        """Return the hosts that warm a searcher up, each by its own view."""
        return [
            name
            for name, host in sorted(self.hosts.items())
            if host.warming.should_warm_up(searcher)
        ]
