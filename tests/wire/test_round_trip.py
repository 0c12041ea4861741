"""Time that requests spend on the network, as their callers count it."""

import socket
import struct

import pytest

from corianderport_wire.connection import caller_listener
from corianderport_wire.connection import round_trip

from . import test_caller_listener


class _Socket:
    """A socket whose kernel reports ``info``."""

    def __init__(self, info: bytes | OSError) -> None:
        self._info = info

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        if isinstance(self._info, OSError):
            raise self._info
        return self._info[:size]


def _info(microseconds: int) -> bytes:
    return bytes(68) + struct.pack('=I', microseconds) + bytes(32)


@pytest.mark.parametrize(
    ('info', 'expected_s'),
    [
        (_info(6_200), 0.0062),
        (_info(0), None),
        # A retransmitted handshake is no measure of the path.
        (_info(1_006_000), None),
        (bytes(20), None),
        (OSError('not supported'), None),
    ],
)
def test_round_trip_of_the_kernel(
    info: bytes | OSError, expected_s: float | None
) -> None:
    """Guards against a goal that depends on a value without meaning."""
    connection = _Socket(info)
    assert round_trip.round_trip_s(connection) == expected_s  # type: ignore


def test_first_request_of_a_connection_includes_its_opening(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against late answers to callers that open a connection.

    Their time counts from the opening, which takes a round trip.
    """
    monkeypatch.setattr(round_trip, 'round_trip_s', lambda connection: 0.003)
    paths_s: list[float | None] = []

    def serve(
        request: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        paths_s.append(request.path_s)
        return caller_listener.HttpResponse(200, (), b'')

    with test_caller_listener.listening(serve) as listener:
        client = test_caller_listener.connect_client(listener)
        for _ in range(3):
            client.request('GET', '/')
            client.getresponse().read()
        client.close()
    assert paths_s == [0.006, 0.003, 0.003]
