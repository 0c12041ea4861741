"""corianderport_operator.connection.reports_client

Reads a report from the metrics addresses of hosts.
"""

import collections.abc
import concurrent.futures
import typing

import attrs

from corianderport_tier import errors
from corianderport_wire.connection import curl_client
from corianderport_wire.request import report_codec

__all__ = ['NOT_SUPPORTED', 'HostReply', 'read_hosts']

NOT_SUPPORTED = 'not supported'
_MAX_WORKERS = 64

T = typing.TypeVar('T')


@attrs.frozen
class HostReply(typing.Generic[T]):
    """The report of one host, or why it is missing."""

    address: str
    report: T | None
    problem: str = ''


def read_hosts(
    addresses: collections.abc.Sequence[str],
    codec: report_codec.ReportCodec[T],
    timeout_s: float,
) -> tuple[HostReply[T], ...]:
    """Query all hosts in parallel; results are in the given order.

    :param timeout_s: time after which a host counts as not answering.
    """

    def read(address: str) -> HostReply[T]:
        return _read_host(address, codec, timeout_s)

    with concurrent.futures.ThreadPoolExecutor(_MAX_WORKERS) as executor:
        return tuple(executor.map(read, addresses))


def _read_host(
    address: str, codec: report_codec.ReportCodec[T], timeout_s: float
) -> HostReply[T]:
    client = curl_client.CurlClient(address, timeout_s)
    try:
        reply = client.get(codec.path, timeout_s)
    except errors.TransportError as error:
        return HostReply(address, None, f'no answer: {error}')
    finally:
        client.close()
    report = codec.decode(reply.status, reply.body)
    return HostReply(address, report, '' if report else NOT_SUPPORTED)
