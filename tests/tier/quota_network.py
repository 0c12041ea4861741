"""A fleet of hosts that share quotas, on simulated time without a network."""

import collections
import collections.abc
import heapq
import math
import random
import threading

import attrs

from corianderport_tier import errors
from corianderport_tier.process import decision_log
from corianderport_tier.process import membership
from corianderport_tier.process import quota_bucket
from corianderport_tier.process import quota_calls
from corianderport_tier.process import quota_hosts
from corianderport_tier.process import quota_messages
from corianderport_tier.process import quota_owner
from corianderport_tier.process import quotas
from corianderport_tier.process import seed_contact
from corianderport_tier.version import workspaces

BOUNDS = quota_bucket.QuotaBounds(window_s=5, excess=0.25, slack=20)
STEP_S = 0.05
# Longest time until news of a host or a version has reached all hosts.
NEWS_S = 5.0
# Time until an unreachable host is declared dead, and until it is forgotten.
_DEAD_S = (3.0, 8.0)
_FORGOTTEN_S = 120.0
# Time until a starting host has contacted the seeds, and their number.
_JOIN_S = (0.2, 1.5)
_SEEDS = 3
# A starting host queries the seeds this often.
_QUERY_S = 0.2

Standing = membership.Standing


class _HostClock:
    """Clock of one host, which differs from those of other hosts."""

    def __init__(self, fleet: 'Fleet', offset_s: float) -> None:
        self._fleet = fleet
        self._offset_s = offset_s

    def monotonic(self) -> float:
        return self._fleet.now_s + self._offset_s

    def time(self) -> float:
        return self._fleet.now_s + self._offset_s

    def wait(
        self, condition: threading.Condition, timeout_s: float | None
    ) -> bool:
        raise AssertionError('a request waits though no other one asks')


@attrs.define
class _Knowledge:
    """What one host knows of another; ``due_s`` dates the next change."""

    standing: Standing | None = None
    forgotten: bool = False
    next_change: int = 0


class Host:
    """One host; ``start`` begins a new process."""

    def __init__(self, fleet: 'Fleet', name: str, offset_s: float) -> None:
        self.name = name
        self.group = 0
        self.running = False
        self.frozen = False
        self.clock = _HostClock(fleet, offset_s)
        self.workspaces: tuple[workspaces.Workspace, ...] = ()
        self.version = 0
        self._fleet = fleet
        self._known: dict[str, _Knowledge] = {}
        self._hosts: quota_hosts.QuotaHosts | None = None
        self._joined_s = math.inf
        self._started_s = -math.inf
        self.start(settled=True)

    def start(self, settled: bool = False) -> None:
        """Start a process that knows nothing, unless it is settled."""
        rng = self._fleet.rng
        self.running, self.frozen = True, False
        self._started_s = self._fleet.now_s
        self._joined_s = self._started_s
        self._contacted: set[str] = set()
        # The start of each seed's process that knows this host, since when,
        # and until when its knowledge is known.
        self._registered: dict[str, tuple[float, float]] = {}
        self._current: dict[str, float] = {}
        self._queried_s = -math.inf
        if not settled:
            self._joined_s += rng.uniform(*_JOIN_S)
        self._known = collections.defaultdict(_Knowledge)
        self._known[self.name].standing = Standing.ALIVE
        self._hosts = None
        log = decision_log.DecisionLog()
        self.owner = quota_owner.QuotaOwner(
            self.name,
            self,
            quota_owner.WorkspaceIndex(lambda: self.workspaces),
            lambda: BOUNDS,
            self.clock,
        )
        self.quotas = quotas.Quotas(
            quota_calls.QuotaCalls(
                self.name, self, self.owner, self, self.clock, log
            ),
            lambda: BOUNDS,
            self.clock,
            log,
            rng,
        )

    @property
    def hosts(self) -> quota_hosts.QuotaHosts:
        """Implements ``QuotaFleet``."""
        if self._hosts is None:
            self._hosts = quota_hosts.QuotaHosts(
                tuple(
                    sorted(
                        name
                        for name, known in self._known.items()
                        if known.standing not in (None, Standing.GONE)
                        and not known.forgotten
                    )
                ),
                frozenset(
                    name
                    for name, known in self._known.items()
                    if known.standing is Standing.DEAD and not known.forgotten
                ),
                sum(known.forgotten for known in self._known.values()),
                frozenset(
                    name
                    for name in self._known
                    if self._fleet.hosts[name].started_at
                    > self.started_at
                    + quota_hosts.TOGETHER_S
                    + quota_hosts.MAX_SKEW_S
                ),
            )
        return self._hosts

    @property
    def serving(self) -> bool:
        """Implements ``QuotaFleet``."""
        if self._fleet.now_s < self._joined_s and not self.confirmed:
            return False
        return self.connected

    @property
    def connected(self) -> bool:
        """Implements ``QuotaFleet``."""
        return self._known_seeds() > 0.5

    def _known_seeds(self) -> float:
        seeds = [*self._fleet.hosts.values()][:_SEEDS]
        for seed in seeds:
            if seed.group != self.group or seed.frozen:
                continue
            self._contacted.add(seed.name)
            if seed.running and not self.knows(seed.name):
                self._join(seed)
        known = {
            name
            for name, knowledge in self._known.items()
            if knowledge.standing is not None
        }
        return sum(s.name in known | self._contacted for s in seeds) / _SEEDS

    def _join(self, seed: 'Host') -> None:
        """Exchange what both hosts know, like the first heartbeat."""
        seed.learn(self.name, Standing.ALIVE, False)
        for name, known in list(seed._known.items()):
            if known.standing is None:
                continue
            unknown = self._known[name].standing is None
            started = known.standing is Standing.ALIVE
            if unknown or (started and self._fleet.hosts[name].running):
                self.learn(name, known.standing, known.forgotten)

    @property
    def first_start(self) -> bool:
        """Implements ``QuotaFleet``."""
        if self._known_seeds() < 1:
            return False
        earliest_s = self.started_at - quota_hosts.TOGETHER_S
        return all(s >= earliest_s for s in self._starts())

    @property
    def all_young(self) -> bool:
        """Implements ``QuotaFleet``."""
        now_s = self.clock.time()
        earliest_s = now_s - quota_hosts.YOUNG_S + quota_hosts.MAX_SKEW_S
        latest_s = now_s + quota_hosts.MAX_SKEW_S
        return all(earliest_s <= s <= latest_s for s in self._starts())

    def _starts(self) -> list[float]:
        return [
            self._fleet.hosts[name].started_at
            for name, known in self._known.items()
            if known.standing is not None and known.standing < Standing.GONE
        ]

    @property
    def confirmed(self) -> bool:
        """Implements ``QuotaFleet``."""
        oldest_s = self._fleet.now_s - seed_contact.LEASE_S
        recent = sum(s > oldest_s for s in self._current.values())
        return 2 * recent > _SEEDS

    @property
    def grants_in_s(self) -> float:
        """Implements ``QuotaFleet``."""
        young = self._fleet.now_s - self._started_s < quota_hosts.YOUNG_S
        return 0.5 if young and not self.confirmed else 0.0

    def query_seeds(self) -> None:
        """Learn what the seeds know while this host is starting."""
        now_s = self._fleet.now_s
        if now_s - self._started_s >= quota_hosts.YOUNG_S:
            return
        if now_s - self._queried_s < _QUERY_S:
            return
        self._queried_s = now_s
        for seed in [*self._fleet.hosts.values()][:_SEEDS]:
            if seed.group != self.group or seed.frozen or not seed.running:
                continue
            if seed is not self:
                self._join(seed)
            registered = self._registered.get(seed.name)
            if registered is None or registered[0] != seed._started_s:
                registered = (seed._started_s, now_s)
                self._registered[seed.name] = registered
            if now_s - registered[1] >= seed_contact.LEASE_S:
                self._current[seed.name] = now_s

    @property
    def started_at(self) -> float:
        """Time of the start on this host's clock."""
        return self._started_s + self.clock.time() - self._fleet.now_s

    def learn(self, name: str, standing: Standing, forgotten: bool) -> None:
        """Apply news of another host."""
        known = self._known[name]
        if known.standing is standing and known.forgotten == forgotten:
            return
        known.standing, known.forgotten = standing, forgotten
        self._hosts = None

    def knows(self, name: str) -> bool:
        """Return whether another host is not known to have ended."""
        return self._known[name].standing not in (None, Standing.GONE)

    def known(self, name: str) -> _Knowledge:
        """Return what this host knows of another one."""
        return self._known[name]

    def request(
        self,
        host: str,
        request: quota_messages.QuotaRequest,
        timeout_s: float,
    ) -> quota_messages.QuotaGrant:
        """Implements ``QuotaPeers``."""
        return self._fleet.call(self, self._fleet.hosts[host], request)


class Fleet:
    """Hosts, the news that they have of each other, and admitted requests.

    :param reply_loss: probability that the reply of an owner is lost.
    :param skew_s: largest difference between a clock and the true time.
    """

    def __init__(
        self,
        hosts: int,
        seed: int,
        version: collections.abc.Iterable[workspaces.Workspace],
        reply_loss: float = 0.0,
        skew_s: float = 100.0,
    ) -> None:
        self.now_s = 1_000.0
        self.rng = random.Random(seed)
        self.calls = 0
        self.admitted: dict[str, list[float]] = collections.defaultdict(list)
        self.refused = 0
        self.unreachable = 0
        self._reply_loss = reply_loss
        self._news: list[tuple[float, int, collections.abc.Callable[[], None]]]
        self._news = []
        self._sequence = 0
        # Times from which a version is published, newest last.
        self.versions: list[tuple[float, tuple[workspaces.Workspace, ...]]]
        self.versions = [(-math.inf, tuple(version))]
        self.hosts: dict[str, Host] = {}
        for number in range(hosts):
            name = f'host-{number}'
            offset_s = self.rng.uniform(-skew_s, skew_s)
            self.hosts[name] = Host(self, name, offset_s)
        for host in self.hosts.values():
            host.workspaces = self.versions[0][1]
            for name in self.hosts:
                host.learn(name, Standing.ALIVE, False)
        self.advance(60.0, 1.0)

    def advance(self, seconds: float, step_s: float = STEP_S) -> None:
        """Advance the time, deliver news and run the periodic tasks."""
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            self.now_s += step_s
            while self._news and self._news[0][0] <= self.now_s:
                heapq.heappop(self._news)[2]()
            for host in self.hosts.values():
                if host.running and not host.frozen:
                    host.query_seeds()
                    host.owner.expire()
                    host.quotas.expire()

    def call(
        self, sender: Host, host: Host, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        """Deliver a call."""
        self.calls += 1
        if sender.group != host.group or host.frozen:
            raise errors.ConnectionSilent('no reply')
        if not host.running:
            raise errors.ConnectRefused('refused')
        grant = host.owner.grant(request)
        if self.rng.random() < self._reply_loss:
            raise errors.ConnectionSilent('the reply was lost')
        return grant

    def request(self, host: Host, workspace: str) -> bool:
        """Admit a request of a caller; return whether it was admitted."""
        if not host.running or host.frozen:
            return False
        for known in host.workspaces:
            if known.name == workspace:
                break
        else:
            return False
        try:
            host.quotas.admit(known)
        except errors.QuotaExceeded as error:
            assert error.retry_after_s > 0
            self.refused += 1
            return False
        except errors.NotReady:
            self.unreachable += 1
            return False
        self.admitted[workspace].append(self.now_s)
        return True

    def owners(self, workspace: str) -> tuple[str, ...]:
        """Return the owners of a workspace if all hosts run."""
        return quota_hosts.first_hosts(workspace, self.hosts, 4)

    @property
    def seed(self) -> Host:
        """A seed that restarts only together with all hosts.

        If all seeds restart and other hosts keep running, the seeds take
        themselves for the whole fleet until the others contact them again.
        """
        return next(iter(self.hosts.values()))

    def partition(self, groups: collections.abc.Sequence[int]) -> None:
        """Assign the hosts to groups that can't reach each other."""
        for host, group in zip(self.hosts.values(), groups, strict=True):
            host.group = group
        self._spread_news(*self.hosts.values())

    def stop(self, host: Host) -> None:
        """End the process of a host."""
        host.running = False
        self._spread_news(host)

    def restart(self, host: Host) -> None:
        """Start a new process of a host."""
        host.start()
        host.workspaces = self.versions[-1][1]
        host.version = len(self.versions) - 1
        self._spread_news(host)
        for other in self.hosts.values():
            self._schedule(host, other)

    def freeze(self, host: Host) -> None:
        """Stop a process without ending it."""
        host.frozen = True
        self._spread_news(host)

    def resume(self, host: Host) -> None:
        """Let a frozen process continue."""
        host.frozen = False
        self._spread_news(host)
        # It has missed the news of that time.
        for other in self.hosts.values():
            self._schedule(host, other)

    def publish(
        self, version: collections.abc.Iterable[workspaces.Workspace]
    ) -> None:
        """Publish a version, which reaches the hosts within ``NEWS_S``."""
        published = tuple(version)
        number = len(self.versions)
        self.versions.append((self.now_s, published))
        for host in self.hosts.values():

            def apply(host: Host = host) -> None:
                if number > host.version:
                    host.version, host.workspaces = number, published

            self._at(self.now_s + self.rng.uniform(0, NEWS_S), apply)

    def _spread_news(self, *subjects: Host) -> None:
        for observer in self.hosts.values():
            for subject in subjects:
                self._schedule(observer, subject)

    def _schedule(self, observer: Host, subject: Host) -> None:
        """Let one host learn of the present state of another one."""
        if observer is subject:
            return
        known = observer.known(subject.name)
        self._sequence += 1
        known.next_change = self._sequence
        if observer.group != subject.group or subject.frozen:
            if known.standing in (None, Standing.GONE) and not any(
                other.knows(subject.name)
                for other in self.hosts.values()
                if other.group == observer.group
                and other.running
                and not other.frozen
            ):
                # No host has told it of the other one.
                return
            due_s = self.now_s + self.rng.uniform(*_DEAD_S)
            self._learn(observer, subject, Standing.DEAD, False, due_s)
            due_s += _FORGOTTEN_S
            self._learn(observer, subject, Standing.DEAD, True, due_s)
            return
        standing = Standing.ALIVE if subject.running else Standing.GONE
        due_s = self.now_s + self.rng.uniform(0.1, NEWS_S)
        self._learn(observer, subject, standing, False, due_s)

    def _learn(
        self,
        observer: Host,
        subject: Host,
        standing: Standing,
        forgotten: bool,
        due_s: float,
    ) -> None:
        known = observer.known(subject.name)
        number = known.next_change

        def learn() -> None:
            # News that newer news has replaced, or of an earlier process.
            if observer.known(subject.name) is not known:
                return
            if known.next_change == number and not observer.frozen:
                observer.learn(subject.name, standing, forgotten)

        self._at(due_s, learn)

    def _at(
        self, due_s: float, change: collections.abc.Callable[[], None]
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._news, (due_s, self._sequence, change))


def excess(fleet: Fleet, workspace: str) -> float:
    """Return by how much the worst window exceeds the bound.

    A lowered limit is binding one window after all hosts have had it for
    as long as news takes. The result is negative without an excess.
    """
    times = fleet.admitted[workspace]
    worst = -math.inf
    first = 0
    window_s = BOUNDS.window_s
    for last, end_s in enumerate(times):
        while times[first] <= end_s - window_s:
            first += 1
        begin_s = end_s - window_s
        allowed = _allowed(fleet, workspace, begin_s, end_s)
        worst = max(worst, last - first + 1 - allowed)
    return worst


def _allowed(
    fleet: Fleet, workspace: str, begin_s: float, end_s: float
) -> float:
    lag_s = 2 * NEWS_S + BOUNDS.window_s
    allowed = 0.0
    for number, (since_s, version) in enumerate(fleet.versions):
        later = fleet.versions[number + 1 :]
        until_s = later[0][0] if later else math.inf
        if since_s > end_s or until_s + lag_s < begin_s:
            continue
        for known in version:
            if known.name == workspace:
                limit = known.rate_per_s * BOUNDS.window_s + known.burst
                bound = limit * (1 + BOUNDS.excess) + BOUNDS.slack
                allowed = max(allowed, bound)
    return allowed
