"""What a host on the platform reports about the bytes that it exchanges."""

import pathlib
import time

from corianderport_tier.process import link_bytes
from corianderport_tier.process import link_report
from corianderport_wire.request import report_codec

from . import http_host

_Kind = link_bytes.LinkKind
_Total = link_bytes.LinkTotal
_SENT = link_bytes.Direction.SENT
_RECEIVED = link_bytes.Direction.RECEIVED
_REQUEST = (
    b'GET /one/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q1\r\n\r\n'
)
_REPLY = (
    b'HTTP/1.1 200 OK\r\nx-response-stamp: s\r\n'
    b'content-length: 1000\r\n\r\n' + b'x' * 1000
)


def _get(host: http_host.HttpHost, path: bytes) -> http_host.Message:
    with host.connect_metrics() as scraper:
        scraper.sendall(b'GET %b HTTP/1.1\r\nhost: a\r\n\r\n' % path)
        response = http_host.Responses(scraper).read()
    assert response is not None
    return response


def _report(host: http_host.HttpHost) -> link_report.HostLinks:
    response = _get(host, b'/links')
    report = report_codec.LINKS.decode(response.status, response.body)
    assert report is not None
    return report


def _counted(
    report: link_report.HostLinks,
) -> dict[tuple[link_bytes.Direction, link_bytes.LinkKind], _Total]:
    return {(total.direction, total.kind): total for total in report.links}


def test_requests_are_counted_where_they_pass(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against counters that are not connected to their connections."""
    with http_host.running(tmp_path) as host:
        response, received = host.relay(_REQUEST, _REPLY)
        assert (response.status, len(response.body)) == (200, 1000)
        report = _report(host)
        deadline_s = time.monotonic() + http_host.LONG_S
        # A response is counted after it has been written.
        while not all(
            (_SENT, kind) in _counted(report)
            and _counted(report)[_SENT, kind].messages
            for kind in (_Kind.CALLER, _Kind.HEALTH_CHECK)
        ):
            assert time.monotonic() < deadline_s
            report = _report(host)
        text = _get(host, b'/metrics').body.decode()
    assert (report.data_centre, report.host) == ('west-a', host.host.name)
    assert report.running_s > 0
    counted = _counted(report)
    to_searcher = counted[_SENT, _Kind.SEARCHER]
    from_searcher = counted[_RECEIVED, _Kind.SEARCHER]
    assert to_searcher.place is link_bytes.Place.OWN
    assert (to_searcher.bytes, to_searcher.messages) == (len(received[0]), 1)
    assert (from_searcher.bytes, from_searcher.messages) == (len(_REPLY), 1)
    from_caller = counted[_RECEIVED, _Kind.CALLER]
    assert (from_caller.bytes, from_caller.messages) == (len(_REQUEST), 1)
    assert counted[_SENT, _Kind.CALLER].bytes > 1000
    for direction in (_SENT, _RECEIVED):
        assert counted[direction, _Kind.STORE].bytes > 0
        assert counted[direction, _Kind.HEALTH_CHECK].messages > 0
    assert (
        'corianderport_link_bytes_total{direction="received",kind="caller",'
        f'place="unknown"}} {len(_REQUEST)}\n' in text
    )
