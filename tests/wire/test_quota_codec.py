"""Calls for tokens between hosts over thrift."""

import collections.abc
import typing

import pytest
import thriftpy2.thrift

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import membership
from corianderport_tier.process import quota_messages
from corianderport_wire.connection import peer_authentication
from corianderport_wire.connection import peer_client
from corianderport_wire.connection import peer_codec
from corianderport_wire.connection import peer_server
from corianderport_wire.connection import quota_codec

_CLOCK = clocks.SystemClock()
_KEYS = peer_authentication.SharedKeys.from_text('a key of the tests')
_TIMEOUT_S = 10.0
_REQUEST = quota_messages.QuotaRequest('kämi', 3, 1)


class _Owner:
    """A peer service that grants one token less than requested."""

    def __init__(self) -> None:
        self.requests: list[quota_messages.QuotaRequest] = []

    def quota(
        self, request: quota_messages.QuotaRequest
    ) -> quota_messages.QuotaGrant:
        self.requests.append(request)
        if request.workspace == 'other':
            raise errors.NotOwner('another host')
        return quota_messages.QuotaGrant(request.tokens - 1, 0.25, 0.5)


@pytest.fixture(name='owner')
def _owner() -> _Owner:
    return _Owner()


@pytest.fixture(name='transport')
def _transport(
    owner: _Owner,
) -> collections.abc.Iterator[peer_client.ThriftPeerTransport]:
    server = peer_server.PeerServer('127.0.0.1', 0, _CLOCK, 8, _KEYS)
    server.start(typing.cast(typing.Any, owner))
    member = membership.Member('h', 'dc-a', server.address)
    transport = peer_client.ThriftPeerDialer(_CLOCK, _KEYS).dial(
        member, _TIMEOUT_S
    )
    yield transport
    transport.close()
    server.close()


def test_call_for_tokens(
    owner: _Owner, transport: peer_client.ThriftPeerTransport
) -> None:
    """Guards against fields that are lost or confused on the way."""
    grant = transport.quota(_REQUEST, _TIMEOUT_S)
    assert grant == quota_messages.QuotaGrant(2, 0.25, 0.5)
    assert owner.requests == [_REQUEST]


def test_refusal_keeps_the_connection(
    owner: _Owner, transport: peer_client.ThriftPeerTransport
) -> None:
    """Guards against a refusal that looks like a failure of the owner."""
    other = quota_messages.QuotaRequest('other', 3, 1)
    with pytest.raises(errors.NotOwner):
        transport.quota(other, _TIMEOUT_S)
    assert transport.quota(_REQUEST, _TIMEOUT_S).granted == 2


@pytest.mark.parametrize('tokens', [-1, 2_000_000, None])
def test_odd_request_is_refused(
    owner: _Owner,
    transport: peer_client.ThriftPeerTransport,
    tokens: int | None,
) -> None:
    """Guards against a grant without a bound, or of a negative number."""
    fields = peer_codec.PEER.QuotaRequest(
        workspace='kami', tokens=tokens, rank=0
    )
    with pytest.raises(errors.MalformedRequest):
        transport._call(transport._client.quota, fields, _TIMEOUT_S)
    assert owner.requests == []


@pytest.mark.parametrize(
    'fields',
    [
        {'granted': -1, 'retry_after_ms': 0.0, 'valid_ms': 5.0},
        {'granted': 1, 'retry_after_ms': float('nan'), 'valid_ms': 5.0},
        {'granted': 1, 'retry_after_ms': 0.0, 'valid_ms': float('inf')},
        {'granted': 1, 'retry_after_ms': 0.0},
    ],
)
def test_odd_grant_is_a_transport_error(fields: dict[str, float]) -> None:
    """Guards against tokens that never expire."""
    with pytest.raises(errors.TransportError):
        quota_codec.grant_from_thrift(peer_codec.PEER.QuotaGrant(**fields))


def test_host_of_an_earlier_version(
    transport: peer_client.ThriftPeerTransport,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unknown call that is not a failure of the owner."""

    def unknown(fields: typing.Any) -> typing.Any:
        raise thriftpy2.thrift.TApplicationException(
            thriftpy2.thrift.TApplicationException.UNKNOWN_METHOD
        )

    monkeypatch.setattr(transport._client, 'quota', unknown)
    with pytest.raises(errors.TransportError):
        transport.quota(_REQUEST, _TIMEOUT_S)
