"""corianderport_operator.process.live_commands

Commands that query running hosts.
"""

import sys
import threading

from corianderport_operator.connection import search_client
from corianderport_operator.process import output
from corianderport_operator.process import sources
from corianderport_operator.process import status as status_module
from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier import options
from corianderport_tier import result_codes

__all__ = ['search', 'status']

_EXIT_PROBLEM = 1
_MAX_LIMIT = 1_000
_MAX_DEADLINE_MS = 60_000
_MAX_INTERVAL_S = 3_600
_MAX_PORT = 65_535
_HEALTHY_STATES = ('in-service', 'warming-up')
_ANSWERED_CODES = (result_codes.ResultCode.OK, result_codes.ResultCode.PARTIAL)


def status(
    hosts: str = '',
    platform: str = '',
    admin_port: float = 0,
    watch: bool = False,
    interval_s: float = 2.0,
    json: bool = False,
) -> None:
    """Show the state of all hosts.

    For each host, this is the version in force, the states of its searchers
    with their reasons, and the number of refused requests. Exit codes: 0 no
    problem; 1 a host does not answer, is not ready or refused a
    configuration, or hosts have different versions; 2 usage error.

    Example: corianderport status --hosts 10.1.0.1:8703,10.1.0.2:8703

    Example: corianderport status --platform 10.1.0.9:80 --admin_port 8703
    --watch

    Args:
        hosts: admin_address of each host, comma-separated.
        platform: address of the service with the host list, in place of
            hosts.
        admin_port: port of admin_address, the same on all listed hosts.
        watch: repeat until interrupted.
        interval_s: seconds between two readings.
        json: print one line of JSON for each reading.
    """
    interval_s = options.number(
        'interval_s', interval_s, 0.1, _MAX_INTERVAL_S, errors.SettingInvalid
    )
    while True:
        addresses = _admin_addresses(hosts, platform, admin_port)
        fleet = status_module.read_hosts(addresses)
        if json:
            output.print_json(fleet)
        else:
            _print_status(fleet)
        if not watch:
            break
        _sleep(clocks.SystemClock(), interval_s)
    if fleet.problems:
        sys.exit(_EXIT_PROBLEM)


def search(
    host: str,
    name: str,
    query: str,
    deadline_ms: float = 1_000,
    limit: float = 10,
    customer: str = 'default',
    json: bool = False,
) -> None:
    """Send one search and show its coverage, latency and hits.

    Exit codes: 0 complete or partial answer; 1 refused or failed;
    2 usage error.

    Example: corianderport search 10.1.0.1:8700 stock "painted stilts"

    Args:
        host: caller_address of a host.
        name: name of the search.
        query: text to search for.
        deadline_ms: time limit for the answer; at most the deadline of the
            search.
        limit: maximum number of hits.
        customer: customer on whose behalf the search is made.
        json: print JSON instead of a table.
    """
    call = search_client.SearchCall(
        query=query,
        limit=int(
            options.number(
                'limit', limit, 1, _MAX_LIMIT, errors.SettingInvalid
            )
        ),
        deadline_ms=options.number(
            'deadline_ms',
            deadline_ms,
            1,
            _MAX_DEADLINE_MS,
            errors.SettingInvalid,
        ),
        customer=options.identifier(
            'customer', customer, errors.SettingInvalid
        ),
    )
    options.identifier('name', name, errors.SettingInvalid)
    reply = search_client.send(
        sources.parse_address('host', host), name, call, clocks.SystemClock()
    )
    if json:
        output.print_json(reply)
    else:
        _print_reply(reply)
    if reply.code not in _ANSWERED_CODES:
        sys.exit(_EXIT_PROBLEM)


def _admin_addresses(
    hosts: str, platform: str, port: float
) -> tuple[str, ...]:
    if bool(hosts) == bool(platform):
        raise errors.SettingInvalid(
            'hosts, platform: give one of them, such as --hosts 127.0.0.1:8703'
        )
    if hosts:
        return sources.parse_addresses('hosts', hosts)
    valid_port = options.number(
        'admin_port', port, 1, _MAX_PORT, errors.SettingInvalid
    )
    return status_module.admin_addresses(
        sources.parse_address('platform', platform), int(valid_port)
    )


def _sleep(clock: clocks.Clock, seconds: float) -> None:
    condition = threading.Condition()
    with condition:
        clock.wait(condition, seconds)


def _print_status(fleet: status_module.FleetStatus) -> None:
    output.print_table(
        (
            'host', 'data centre', 'address', 'version',
            'searchers', 'refused requests',
        ),
        [
            (
                host.host or '?',
                host.data_centre,
                host.address,
                host.version,
                _format_counts(host.upstream_states),
                _format_counts(dict(host.refusals)),
            )
            for host in fleet.hosts
        ],
    )  # fmt: skip
    rows = [
        (host.host, view.service, view.name, view.state, view.reason)
        for host in fleet.hosts
        for view in host.upstreams
        if view.state not in _HEALTHY_STATES
    ]
    if rows:
        print()
        output.print_table(
            ('host', 'service', 'searcher', 'state', 'reason'), rows
        )
    output.print_lines(f'problem: {text}' for text in fleet.problems)


def _format_counts(counts: dict[str, int]) -> str:
    return ', '.join(f'{n} {name}' for name, n in counts.items()) or '-'


def _print_reply(reply: search_client.SearchReply) -> None:
    print(
        f'{reply.code} {reply.name}, ran: {reply.ran}, '
        f'{reply.elapsed_ms:.1f} ms'
    )
    if reply.detail:
        print(reply.detail)
    if reply.snapshot == 0:
        return
    missing = ', '.join(reply.coverage.missing) or 'none'
    print(
        f'snapshot {reply.snapshot}, coverage {reply.coverage.fraction:.1%}, '
        f'missing shards: {missing}'
    )
    output.print_table(
        ('document', 'score', 'title'),
        [(hit.document, f'{hit.score:.3f}', hit.title) for hit in reply.hits],
    )
