"""PlatformClient: the host list with odd entries."""

import json
import logging

import pytest

from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_wire.connection import curl_client
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_client
from corianderport_wire.connection import platform_client

_GOOD = {'name': 'h1', 'data_centre': 'dc-a', 'peer_address': '127.0.0.1:9'}
_ODD: list[object] = [
    None,
    7,
    [],
    {},
    {**_GOOD, 'peer_address': '127.0.0.1:99999'},
    {**_GOOD, 'peer_address': '127.0.0.1:\uff18'},
    {**_GOOD, 'peer_address': '127.0.0.1:' + '9' * 5_000},
    {**_GOOD, 'peer_address': 'nowhere'},
    {**_GOOD, 'state': 'asleep'},
    {'name': 'x' * 100_000},
]


class _Client:
    """Answers each call with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def get(self, target: str, timeout_s: float) -> curl_client.HttpReply:
        return curl_client.HttpReply(200, self._body)


def _platform(body: bytes) -> platform_client.PlatformClient:
    client = platform_client.PlatformClient('127.0.0.1:9')
    client._client = _Client(body)  # type: ignore[assignment]
    return client


def test_odd_host_does_not_hide_the_others(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a host list that is no longer followed.

    Each odd entry is logged once, in a line of bounded length.
    """
    caplog.set_level(logging.WARNING)
    client = _platform(json.dumps([*_ODD, _GOOD]).encode())
    for _ in range(3):
        assert [m.name for m in client.hosts(1.0)] == ['h1']
    assert len(caplog.messages) == len(_ODD)
    assert max(map(len, caplog.messages)) < 300


@pytest.mark.parametrize('body', [b'{}', b'null', b'[' * 10_000, b'\xff'])
def test_malformed_host_list_is_a_transport_error(body: bytes) -> None:
    """Guards against taking a failure for a list without hosts."""
    with pytest.raises(errors.TransportError):
        _platform(body).hosts(1.0)


@pytest.mark.parametrize(
    'address', ['', 'h', '127.0.0.1:x', '127.0.0.1:99999', 'a' * 300 + ':80']
)
def test_odd_address_of_a_host_is_unreachable(address: str) -> None:
    """Guards against an error that ends the exchange of heartbeats.

    Rumours carry addresses from any host.
    """
    dialer = peer_client.ThriftPeerDialer(
        clock_module.ManualClock(),
        peer_authentication.SharedKeys.from_text('a key'),
    )
    with pytest.raises(errors.ConnectFailed):
        dialer.dial(membership.Member('h1', 'dc-a', address), 0.1)
