"""Checks of a run by what callers and searchers have observed.

``GUARANTEES`` hold at any speed of the machine. ``FURTHER`` are stricter and
may fail where a host does not get the processor for a second.
"""

import collections
import collections.abc

import attrs

from ..connection import proxy
from ..request import caller
from ..request import observations
from . import site as sites
from ..version import configuration
from ..version import faults
from ..version import timeline

__all__ = ['Check', 'FURTHER', 'GUARANTEES', 'Record']

_RECORD_BYTES = 16
_TOO_LARGE = (413, 431)
_HOST_FAULTS = (faults.Kill, faults.Pause, faults.Restart, faults.Crowd)
# A silent connection to the store is noticed after 2.5 s: a watch of 1.5 s
# with strict keys, and a time-out of 1 s. Searchers that lapse in an outage
# would be used until 4.5 s.
_UNLISTED_S = 3.5
# Decimals of sums of floating-point numbers.
_EPSILON = 1e-6


@attrs.frozen
class Record:
    """All that a run has shown."""

    plan: timeline.Timeline
    sent: tuple[observations.Sent, ...]
    runs: tuple[observations.Run, ...]
    key_removals: tuple[sites.KeyRemoval, ...]
    searcher_removals: tuple[sites.SearcherRemoval, ...]
    rates: dict[str, float]
    failures: tuple[str, ...]
    # Hosts that do not answer an ordinary request after the faults.
    unserved: tuple[str, ...]

    def runs_by_id(self) -> dict[str, list[observations.Run]]:
        """Return the runs of each request."""
        found = collections.defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found


Check = collections.abc.Callable[[Record], list[str]]


def refused_requests_have_not_run(record: Record) -> list[str]:
    """Return requests that were refused and ran."""
    runs = record.runs_by_id()
    return [
        f'{s.request_id} got {s.status} and ran at '
        f'{[r.searcher for r in runs[s.request_id]]}'
        for s in record.sent
        if s.is_refusal and s.request_id in runs
    ]


def non_idempotent_requests_run_at_most_once(record: Record) -> list[str]:
    """Return requests that may run once and ran more often."""
    runs = record.runs_by_id()
    return [
        f'{s.request_id} ran {len(runs[s.request_id])} times'
        for s in record.sent
        if s.path == configuration.ONCE and len(runs[s.request_id]) > 1
    ]


def responses_belong_to_requests(record: Record) -> list[str]:
    """Return responses that no searcher has sent for the request."""
    runs = record.runs_by_id()
    violations = []
    for sent in record.sent:
        if sent.answered_id not in ('', sent.request_id):
            violations.append(f'{sent.request_id} got {sent.answered_id}')
        elif sent.status and sent.stamps:
            fits = (
                _is_gathered
                if sent.path == configuration.GATHERED
                else _is_relayed
            )
            if not fits(sent, runs[sent.request_id]):
                violations.append(
                    f'{sent.request_id} got {sent.status} with '
                    f'{len(sent.body)} bytes that no searcher sent for it'
                )
        elif 200 <= sent.status < 300:
            violations.append(f'{sent.request_id} got success without a proof')
    return violations


def _is_relayed(
    sent: observations.Sent, runs: collections.abc.Iterable[observations.Run]
) -> bool:
    return any(
        run.contents is not None
        and run.status == sent.status
        and (
            sent.body in run.contents
            or run.is_unframed
            and any(c.startswith(sent.body) for c in run.contents)
        )
        for run in runs
    )


def _is_gathered(
    sent: observations.Sent, runs: collections.abc.Iterable[observations.Run]
) -> bool:
    """Whether the records are those of whole parts."""
    parts = {
        run.searcher: run.contents[0]
        for run in runs
        if run.contents and f'{run.searcher}.' in sent.stamps
    }
    expected = sorted(
        part[at : at + _RECORD_BYTES]
        for part in parts.values()
        # A partial record at the end of a part is not gathered.
        for at in range(0, len(part) - _RECORD_BYTES + 1, _RECORD_BYTES)
    )
    body = sent.body
    return expected == sorted(
        body[at : at + _RECORD_BYTES]
        for at in range(0, len(body), _RECORD_BYTES)
    )


def keys_stay_secret(record: Record) -> list[str]:
    """Return requests with which a searcher got a key."""
    return [
        f'{run.searcher} got a key with {run.request_id}'
        for run in record.runs
        if run.shows_key
    ]


def removed_keys_are_refused(record: Record) -> list[str]:
    """Return requests that used a key too long after its removal."""
    runs = record.runs_by_id()
    violations = []
    for removal in record.key_removals:
        first_s = removal.confirmed_s + configuration.RULES.revoke_s
        for sent in record.sent:
            if (
                sent.key == configuration.KEYS[removal.workspace]
                and first_s < sent.begin_s
                and (
                    removal.restored_s is None
                    or sent.end_s < removal.restored_s
                )
                and (sent.request_id in runs or 200 <= sent.status < 300)
            ):
                violations.append(
                    f'{sent.request_id} was accepted '
                    f'{sent.begin_s - removal.confirmed_s:.2f} s after the '
                    f'removal of its key'
                )
    return violations


def quotas_hold(record: Record) -> list[str]:
    """Return workspaces whose requests exceed their quota."""
    rules = configuration.RULES
    default = configuration.Configuration().document()['tenants']
    violations = []
    for workspace in default:
        name, rate = workspace['name'], record.rates[workspace['name']]
        if not rate:
            continue
        most = (rate * rules.quota_window_s + workspace['burst']) * (
            1 + rules.quota_excess
        ) + rules.quota_slack
        first_s: dict[str, float] = {}
        for run in record.runs:
            if run.workspace == name:
                first_s.setdefault(run.request_id, run.begin_s)
        window: collections.deque[float] = collections.deque()
        largest = 0
        for begin_s in sorted(first_s.values()):
            window.append(begin_s)
            while window[0] <= begin_s - rules.quota_window_s:
                window.popleft()
            largest = max(largest, len(window))
        if largest > most + _EPSILON:
            violations.append(
                f'{largest} requests of {name} ran in a window, {most} may'
            )
    return violations


def processes_stay_alive(record: Record) -> list[str]:
    """Return processes that have ended by themselves."""
    return list(record.failures)


def service_returns(record: Record) -> list[str]:
    """Return hosts that do not serve after the end of the faults."""
    return list(record.unserved)


def requests_end(record: Record) -> list[str]:
    """Return requests without an answer or a closed connection."""
    return [
        f'{s.request_id} waited for {s.end_s - s.begin_s:.1f} s'
        for s in record.sent
        if s.error == 'timeout'
        or s.end_s - s.begin_s > s.timeout_s + caller.SLACK_S
    ]


def requests_are_answered(record: Record) -> list[str]:
    """Return connections that a host at work closed without an answer."""
    disturbed = {
        e.fault.host
        for e in record.plan.events
        if isinstance(e.fault, _HOST_FAULTS)
    }
    return [
        f'{s.request_id} got no answer: {s.error}'
        for s in record.sent
        if s.error
        and s.error != 'timeout'
        and (s.is_first or s.error == 'cut')
        and s.host not in disturbed
    ]


def requests_within_limits_are_accepted(record: Record) -> list[str]:
    """Return requests that were refused as too large."""
    return [
        f'{s.request_id} got {s.status}'
        for s in record.sent
        if s.status in _TOO_LARGE and s.is_refusal
    ]


def removed_searchers_are_left_alone(record: Record) -> list[str]:
    """Return requests to a searcher long after its removal."""
    began_s = {s.request_id: s.begin_s for s in record.sent}
    if not _store_is_served(record.plan):
        return []
    return [
        f'{run.request_id} ran at {run.searcher} '
        f'{run.begin_s - removal.confirmed_s:.2f} s after its removal'
        for removal in record.searcher_removals
        for run in record.runs
        if run.searcher == removal.searcher
        and began_s.get(run.request_id, 0.0)
        > removal.confirmed_s + _UNLISTED_S
        and (removal.restored_s is None or run.begin_s < removal.restored_s)
    ]


def _store_is_served(plan: timeline.Timeline) -> bool:
    """Whether new connections to the store work and no host is frozen."""
    return not plan.of_kind(faults.Pause) and all(
        event.fault.link != 'store'
        or isinstance(event.fault.effect, proxy.Silence)
        and not event.fault.effect.with_new
        for event in plan.of_kind(faults.DisturbLink)
    )


GUARANTEES: tuple[Check, ...] = (
    refused_requests_have_not_run,
    non_idempotent_requests_run_at_most_once,
    responses_belong_to_requests,
    keys_stay_secret,
    removed_keys_are_refused,
    quotas_hold,
    processes_stay_alive,
    service_returns,
    requests_end,
)
FURTHER: tuple[Check, ...] = (
    requests_are_answered,
    requests_within_limits_are_accepted,
    removed_searchers_are_left_alone,
)
