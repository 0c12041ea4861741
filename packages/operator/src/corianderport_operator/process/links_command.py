"""corianderport_operator.process.links_command

The command that shows the bytes that hosts exchange, by kind and place.
"""

import collections.abc
import sys

from corianderport_operator.connection import links_client
from corianderport_operator.process import link_totals
from corianderport_operator.process import output
from corianderport_operator.process import sources

__all__ = ['links']

_EXIT_PARTIAL = 1
_ALL = 'all'
_ALL_PARTIAL = 'all (partial)'


def links(host: str = '127.0.0.1:9464', json: bool = False) -> None:
    """Show the bytes that running hosts exchange, by kind and place.

    Bytes are those since the start of each host, without TCP and IP. Exit
    codes: 0 all given hosts answered, 1 the sum is partial, 2 usage error.

    Example: corianderport links --host 10.1.0.1:9464 --host 10.1.0.2:9464

    Args:
        host: metrics address of a host; may be repeated.
        json: print JSON instead of tables.
    """
    addresses = sources.parse_repeated_addresses('host', host)
    fleet = link_totals.FleetLinks.from_replies(
        links_client.read_hosts(addresses)
    )
    if json:
        output.print_json(fleet)
    else:
        _print(fleet)
    if fleet.partial:
        sys.exit(_EXIT_PARTIAL)


def _print(fleet: link_totals.FleetLinks) -> None:
    output.print_table(
        ('address', 'host', 'data centre', 'running s', 'state'),
        [
            (
                host.address,
                host.host,
                host.data_centre,
                f'{host.running_s:.0f}' if host.host else '',
                host.problem or 'answered',
            )
            for host in fleet.hosts
        ],
    )
    print()
    all_hosts = _ALL_PARTIAL if fleet.partial else _ALL
    output.print_table(
        (
            'kind', 'place', 'direction', 'host', 'bytes/s', 'bytes',
            'messages',
        ),
        [row for link in fleet.links for row in _rows(link, all_hosts)],
    )  # fmt: skip


def _rows(
    link: link_totals.LinkSum, all_hosts: str
) -> collections.abc.Iterator[tuple[object, ...]]:
    yield (
        link.kind.value,
        link.place.value,
        link.direction.value,
        all_hosts,
        f'{link.bytes_per_s:.1f}',
        link.bytes,
        link.messages,
    )
    for host in link.hosts:
        yield (
            *('',) * 3,
            host.address,
            f'{host.bytes_per_s:.1f}',
            host.bytes,
            host.messages,
        )
