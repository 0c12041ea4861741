"""Runs the timeline of a seed and checks what was observed."""

import pathlib
import socket
import time

import attrs

from . import checks
from ..request import caller
from . import site as sites
from ..version import configuration
from ..version import timeline

__all__ = ['Result', 'run']

# Time in which each host has to serve after the end of the faults.
_RECOVERY_S = 15.0
_TRY_S = 5.0
_RETRY_S = 0.1


@attrs.frozen
class Result:
    """Outcome of a run."""

    record: checks.Record
    violations: dict[str, list[str]]

    def line(self) -> str:
        """Return one line about the run."""
        statuses: dict[str, int] = {}
        for sent in self.record.sent:
            name = str(sent.status or sent.error)
            statuses[name] = statuses.get(name, 0) + 1
        counts = ' '.join(f'{n}:{c}' for n, c in sorted(statuses.items()))
        found = ', '.join(
            f'{name} ({len(lines)})' for name, lines in self.violations.items()
        )
        plan = self.record.plan
        return (
            f'seed {plan.seed}: {plan.hosts} hosts, {len(plan.events)} '
            f'faults, {len(self.record.runs)} runs, {counts}: '
            f'{found or "holds"}'
        )


def run(
    plan: timeline.Timeline,
    directory: pathlib.Path,
    checked: tuple[checks.Check, ...],
) -> Result:
    """Run a timeline; hosts write their logs into the directory."""
    with sites.Site(plan, directory) as site:
        site.start_callers()
        begin_s = time.monotonic()
        for at_s, act in plan.actions():
            time.sleep(max(0.0, begin_s + at_s - time.monotonic()))
            act(site)
        time.sleep(max(0.0, begin_s + plan.length_s - time.monotonic()))
        unserved = _await_service(site)
        site.stop_callers()
        for host in site.hosts:
            host.check_alive()
        record = checks.Record(
            plan,
            tuple(site.observed.sent),
            tuple(site.observed.runs),
            tuple(site.key_removals),
            tuple(site.searcher_removals),
            dict(site.rates),
            tuple(f for host in site.hosts for f in host.failures),
            tuple(unserved),
        )
    found = {check.__name__: check(record) for check in checked}
    return Result(record, {n: lines for n, lines in found.items() if lines})


def _await_service(site: sites.Site) -> list[str]:
    """Return the hosts that do not serve all routes in time."""
    deadline_s = time.monotonic() + _RECOVERY_S
    unserved = []
    for number, host in enumerate(site.hosts):
        for path in configuration.PATHS:
            statuses: list[int] = []
            while 200 not in statuses:
                if statuses and time.monotonic() > deadline_s:
                    unserved.append(
                        f'host {number} {path}: {statuses[-20:]}, '
                        f'{host.describe()}'
                    )
                    break
                statuses.append(_status(site, number, path, len(statuses)))
                if statuses[-1] != 200:
                    time.sleep(_RETRY_S)
    return unserved


def _status(site: sites.Site, number: int, path: str, tries: int) -> int:
    request = caller.Request(
        f'last-{number}{path}{tries}',
        number,
        path,
        configuration.KEYS['beta'],
        _TRY_S,
        0,
    )
    try:
        connection = socket.create_connection(
            ('127.0.0.1', site.hosts[number].front), _TRY_S
        )
    except OSError:
        return 0
    with connection:
        sent = caller.send(connection, request, is_first=True)
    site.observed.sent.append(sent)
    return sent.status
