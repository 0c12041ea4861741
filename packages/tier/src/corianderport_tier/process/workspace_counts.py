"""corianderport_tier.process.workspace_counts

Counts what has become of the requests of each workspace in a window of time.
"""

import collections
import collections.abc
import enum
import itertools
import threading

import attrs

from corianderport_tier import clocks

__all__ = ['DEFAULT_WINDOW_S', 'Outcome', 'RecentCounts', 'WorkspaceCounts']

DEFAULT_WINDOW_S = 5.0
# A window is covered by this many samples, so that it is longer than wanted by
# a twentieth at most.
_SAMPLES = 20
_MIN_SAMPLE_S = 0.25
# Time by which a sample may be early, since the periodic task wakes at
# slightly irregular times.
_EARLY_S = 0.025

# None stands for requests of no known workspace.
Name = str | None
_Totals = tuple[int, ...]


class Outcome(enum.Enum):
    """What has become of a request of a workspace, or of a token."""

    ADMITTED = 'admitted'
    GIVEN_BACK = 'given_back'
    OVER_QUOTA = 'over_quota'
    NO_OWNER = 'no_owner'
    OVER_SHARE = 'over_share'
    KEY_REFUSED = 'key_refused'
    KEY_UNCONFIRMED = 'key_unconfirmed'


_ZEROS = (0,) * (len(Outcome) + 1)


class _Counter:
    """A counter that any task increments without a lock.

    ``next`` of ``itertools.count`` is atomic, but also counts the reads of
    the value.
    """

    def __init__(self) -> None:
        self._next = itertools.count()
        self._reads = 0

    def add(self) -> None:
        """Increment the counter."""
        next(self._next)

    def total(self) -> int:
        """Return the value; the caller holds the lock of all reads."""
        value = next(self._next) - self._reads
        self._reads += 1
        return value


class _WorkspaceCounter:
    """The counters of one workspace."""

    def __init__(self) -> None:
        self._counters = {outcome: _Counter() for outcome in Outcome}

    def add(self, outcome: Outcome) -> None:
        """Count one request."""
        self._counters[outcome].add()

    def totals(self) -> _Totals:
        """Return the totals in the order of ``Outcome``."""
        return tuple(self._counters[outcome].total() for outcome in Outcome)


@attrs.frozen
class _Sample:
    """Totals of all workspaces at one time."""

    time_s: float
    totals: dict[Name, _Totals]


@attrs.frozen
class RecentCounts:
    """Counts of one workspace in a window."""

    outcomes: collections.abc.Mapping[Outcome, int]
    tokens_granted: int


class WorkspaceCounts:
    """Counts requests by workspace; holds nothing for each request.

    :param window_s: returns the length of the window.
    :param names: returns the names of the workspaces that exist. Counts of
        others are dropped, so that these names bound the memory.
    :param granted: returns the number of tokens that this host has granted
        as an owner since its start, by workspace.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        window_s: collections.abc.Callable[[], float],
        names: collections.abc.Callable[[], collections.abc.Iterable[str]],
        granted: collections.abc.Callable[
            [], collections.abc.Mapping[str, int]
        ],
    ) -> None:
        self._clock = clock
        self._window_s = window_s
        self._names = names
        self._granted = granted
        self._counters: dict[Name, _WorkspaceCounter] = {}
        # Only for samples and reports; requests don't take it.
        self._lock = threading.Lock()
        self._samples: collections.deque[_Sample] = collections.deque()
        self._started_s = clock.monotonic()

    @property
    def size(self) -> int:
        """Number of workspaces with counters."""
        return len(self._counters)

    def count(self, name: Name, outcome: Outcome) -> None:
        """Count one request of a workspace; None if it has none."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters.setdefault(name, _WorkspaceCounter())
        counter.add(outcome)

    def sample(self) -> None:
        """Record the totals if they are due; called periodically."""
        with self._lock:
            now_s = self._clock.monotonic()
            window_s = self._window_s()
            interval_s = max(_MIN_SAMPLE_S, window_s / _SAMPLES)
            due_s = interval_s - _EARLY_S
            if self._samples and now_s - self._samples[-1].time_s < due_s:
                return
            self._drop_unknown()
            self._samples.append(_Sample(now_s, self._totals()))
            # One sample before the begin of the window is needed.
            begin_s = now_s - window_s
            while len(self._samples) > 1 and (
                self._samples[1].time_s <= begin_s
            ):
                self._samples.popleft()

    def recent(self) -> tuple[float, dict[Name, RecentCounts]]:
        """Return the length of the window in seconds, and its counts.

        The window may be longer than configured by the interval of the
        samples, and is shorter after the start of the process.
        """
        with self._lock:
            now_s = self._clock.monotonic()
            begin_s = now_s - self._window_s()
            first = _Sample(self._started_s, {})
            for sample in self._samples:
                if sample.time_s > begin_s:
                    break
                first = sample
            counts = {
                name: _difference(totals, first.totals.get(name, _ZEROS))
                for name, totals in self._totals().items()
            }
            return now_s - first.time_s, counts

    def _totals(self) -> dict[Name, _Totals]:
        granted = self._granted()
        # Tasks may add counters meanwhile.
        counters = self._counters.copy()
        latest = self._samples[-1].totals if self._samples else {}
        totals: dict[Name, _Totals] = {}
        for name in counters.keys() | granted.keys():
            counter = counters.get(name)
            values = _ZEROS[:-1] if counter is None else counter.totals()
            tokens = 0 if name is None else granted.get(name, 0)
            current = (*values, tokens)
            previous = latest.get(name)
            # Samples share the totals of workspaces without requests.
            totals[name] = previous if previous == current else current
        return totals

    def _drop_unknown(self) -> None:
        known = set(self._names())
        unknown = [
            name
            for name in self._counters.copy()
            if name is not None and name not in known
        ]
        for name in unknown:
            del self._counters[name]
            for sample in self._samples:
                sample.totals.pop(name, None)


def _difference(totals: _Totals, before: _Totals) -> RecentCounts:
    # The tokens of a workspace that was removed and added again start at 0.
    *outcomes, tokens = (
        max(0, now - then) for now, then in zip(totals, before, strict=True)
    )
    return RecentCounts(dict(zip(Outcome, outcomes, strict=True)), tokens)
