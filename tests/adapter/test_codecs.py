"""Codecs: header fields that are forwarded, added and removed."""

import attrs
import pytest

from corianderport_platform import caller_codec
from corianderport_platform import headers
from corianderport_platform import searcher_codec
from corianderport_testkit import clock as clock_module
from corianderport_tier import errors
from corianderport_tier.request import deadlines
from corianderport_tier.request import forward_messages
from corianderport_tier import result_codes
from corianderport_wire.connection import caller_listener
from corianderport_wire.connection import http_exchange

Code = result_codes.ResultCode


@pytest.fixture
def clock() -> clock_module.ManualClock:
    return clock_module.ManualClock()


def _received(
    *extra: tuple[bytes, bytes], received_s: float = 0.0
) -> caller_listener.ReceivedRequest:
    return caller_listener.ReceivedRequest(
        b'POST',
        b'/one%20x?y=1',
        (
            (b'host', b'A.example'),
            (b'x-request-id', b'q1'),
            (b'x-deadline-ms', b'300'),
            (b'connection', b'keep-alive, x-hop'),
            (b'x-hop', b'1'),
            (b'transfer-encoding', b'chunked'),
            (b'accept', b'*/*'),
            *extra,
        ),
        b'body',
        received_s,
    )


def test_request(clock: clock_module.ManualClock) -> None:
    """Guards against forwarding header fields of the caller's connection.

    A field that Connection names, such as x-hop, concerns only that
    connection, as do Connection and Transfer-Encoding.
    """
    request = caller_codec.request_from_http(
        _received(received_s=clock.monotonic() - 0.1)
    )
    assert request.host == 'a.example'
    assert request.path == '/one%20x'
    # The caller has waited since its first bytes arrived.
    assert request.deadline.remaining(clock) == pytest.approx(0.2)
    names = {name for name, _ in request.payload.headers}
    assert names == {b'host', b'x-request-id', b'x-deadline-ms', b'accept'}


@pytest.mark.parametrize('missing', [b'host', b'x-request-id'])
def test_request_without_identity_or_host(missing: bytes) -> None:
    """Guards against forwarding a request without an id or a host.

    The host selects the route, and responses are matched by the id.
    """
    received = _received()
    kept_headers = tuple((n, v) for n, v in received.headers if n != missing)
    with pytest.raises(errors.MalformedRequest):
        caller_codec.request_from_http(
            attrs.evolve(received, headers=kept_headers)
        )


def test_call_has_target_and_remaining_time(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against a caller that chooses the searcher.

    The caller sends the header that names the searcher; the value has to be
    replaced.
    """
    received = _received(
        (b'x-target-instance', b'i-evil'), received_s=clock.monotonic()
    )
    request = caller_codec.request_from_http(received)
    clock.advance(0.1)
    call = forward_messages.SearcherCall(
        'q1', 'i-7', request.payload, request.deadline
    )
    sent = searcher_codec._request(call, clock)
    targets = [v for n, v in sent.headers if n == headers.TARGET_INSTANCE]
    assert targets == [b'i-7']
    deadlines_ms = [v for n, v in sent.headers if n == headers.DEADLINE_MS]
    assert len(deadlines_ms) == 1
    assert 195 <= int(deadlines_ms[0]) <= 200
    assert (b'content-length', b'4') in sent.headers
    assert sent.target == b'/one%20x?y=1'


@pytest.mark.parametrize(
    ('status', 'fields', 'ran', 'other', 'execution_proof'),
    [
        (200, ((b'x-response-stamp', b's'),), True, False, 's'),
        (503, ((b'x-not-executed', b'1'),), False, False, None),
        (503, (), True, False, None),
        (421, ((b'x-instance-id', b'i-2'),), False, True, None),
        (200, ((b'x-response-stamp', b's'), (b'content-encoding', b'gzip')),
         True, False, None),
        (500, ((b'x-response-stamp', b's'),), True, False, 's'),
    ],
)  # fmt: skip
def test_reply(
    status: int,
    fields: forward_messages.Headers,
    ran: bool,
    other: bool,
    execution_proof: str | None,
) -> None:
    """Guards against a wrong statement on whether the searcher ran a request.

    The statement follows from the status and the headers. The proof of an
    encoded body does not count, since no caller asks for an encoding.
    """
    reply = searcher_codec._reply(http_exchange.HttpReply(status, fields, b''))
    assert (reply.ran, reply.other_searcher) == (ran, other)
    assert reply.execution_proof == execution_proof


@pytest.mark.parametrize('status', [200, 421, 500, 503])
@pytest.mark.parametrize(
    ('values', 'leaving'),
    [((), False), ((b'1',), True), ((b' 1 ',), True), ((b'0',), False)],
)
def test_reply_of_a_leaving_searcher(
    status: int, values: tuple[bytes, ...], leaving: bool
) -> None:
    """Guards against missing that a searcher leaves.

    The statement comes with every status.
    """
    fields = tuple((b'server-leaving', value) for value in values)
    reply = searcher_codec._reply(http_exchange.HttpReply(status, fields, b''))
    assert reply.leaving is leaving


@pytest.mark.parametrize(
    ('status', 'values', 'pause_s'),
    [
        (503, (b'2',), 2.0),
        (503, (b'0.25',), 0.25),
        (503, (b' 3 ',), 3.0),
        (503, (b'1', b'4'), 4.0),
        (503, (b'1, 4',), 4.0),
        (503, (b'soon', b'1'), 1.0),
        (503, (b'999999999',), 999_999_999.0),
        (503, (), 0.0),
        (503, (b'-1',), 0.0),
        (503, (b'nan',), 0.0),
        (503, (b'inf',), 0.0),
        (503, (b'1e3',), 0.0),
        (503, (b'1_0',), 0.0),
        (503, (b'',), 0.0),
        (503, (b'Sun, 06 Nov 1994 08:49:37 GMT',), 0.0),
        (503, (b'9' * 400,), 0.0),
        (429, (b'2',), 0.0),
        (200, (b'2',), 0.0),
    ],
)
def test_reply_that_asks_for_a_pause(
    status: int, values: tuple[bytes, ...], pause_s: float
) -> None:
    """Guards against a wrong length of the pause that a searcher asks for.

    Only seconds of a 503 count, and the longest of several values.
    """
    fields = tuple((b'retry-after', value) for value in values)
    reply = searcher_codec._reply(http_exchange.HttpReply(status, fields, b''))
    assert reply.pause_s == pause_s


@pytest.mark.parametrize(
    ('code', 'status'),
    [
        (Code.NOT_READY, 503),
        (Code.NO_UPSTREAM, 503),
        (Code.UPSTREAM_REFUSED, 503),
        (Code.DEADLINE_PAST, 503),
        (Code.OVERLOADED, 503),
        (Code.UNKNOWN_SERVICE, 404),
        (Code.MALFORMED_REQUEST, 400),
        (Code.UPSTREAM_FAILED, 502),
        (Code.COVERAGE_NOT_MET, 502),
        (Code.OUTCOME_UNKNOWN, 504),
        (Code.INTERNAL_ERROR, 500),
    ],
)
def test_status_of_failures(code: Code, status: int) -> None:
    """Guards against promising "not run" for a request that may have run.

    Callers repeat a request after certain statuses, so that no result code
    of a request that may have run may be mapped to one of them.
    """
    failure = forward_messages.Failure(code, 'detail', 0.25)
    response = caller_codec.answer_to_http(failure, b'q1')
    assert response.status == status
    if status in forward_messages.NOT_RUN_STATUSES:
        assert code.ran is result_codes.Ran.NO
    assert (b'retry-after', b'0.250') in response.headers


def test_gathered_answer() -> None:
    """Guards against a partial answer that looks complete.

    A caller sees only in the headers which parts have contributed and how
    many are missing.
    """
    answer = forward_messages.Gathered(('a.1', 'b.2'), 1, b'records')
    response = caller_codec.answer_to_http(answer, b'q1')
    assert response.status == 200
    assert (b'x-part-stamps', b'a.1, b.2') in response.headers
    assert (b'x-missing-parts', b'1') in response.headers
    assert response.body == b'records'


def test_invalid_deadline() -> None:
    """Guards against an internal error when the deadline is not a number.

    The value is text that the caller has sent.
    """
    received = caller_listener.ReceivedRequest(
        b'GET',
        b'/',
        ((b'host', b'a'), (b'x-request-id', b'q'), (b'x-deadline-ms', b'x')),
        b'',
        0.0,
    )
    with pytest.raises(errors.MalformedRequest):
        caller_codec.request_from_http(received)


def test_deadline_has_a_default(clock: clock_module.ManualClock) -> None:
    """Guards against refusing a request that has no deadline.

    The header is optional; a missing value must not count as zero.
    """
    received = caller_listener.ReceivedRequest(
        b'GET',
        b'/',
        ((b'host', b'a'), (b'x-request-id', b'q')),
        b'',
        clock.monotonic(),
    )
    request = caller_codec.request_from_http(received)
    assert request.deadline > deadlines.Deadline.after(clock, 1.0)


_KEY = b'rvnz-secret'
_BEARER = (b'authorization', b'Bearer ' + _KEY)


@pytest.mark.parametrize(
    'value', [b'Bearer k1', b'bearer k1', b'BEARER  k1', b' Bearer k1 ']
)
def test_bearer_key_is_decoded(value: bytes) -> None:
    """Guards against 401 because of spaces or the case of the scheme."""
    received = _received((b'authorization', value))
    assert caller_codec.request_from_http(received).credential == 'k1'
    given = caller_codec.given_key(received)
    assert given is not None and given.credential == 'k1'


@pytest.mark.parametrize(
    'values',
    [
        [],
        [b''],
        [b'k1'],
        [b'Bearer'],
        [b'Bearer '],
        [b'Bearer k1 k2'],
        [b'Basic k1'],
        [b'Bearerk1'],
        [b'Bearer k\xe9'],
        [b'Bearer k1', b'Bearer k1'],
        [b'Bearer k1', b'Bearer k2'],
    ],
)
def test_malformed_key_is_none(values: list[bytes]) -> None:
    """Guards against a key that is taken from a malformed header."""
    received = _received(*((b'authorization', v) for v in values))
    assert caller_codec.request_from_http(received).credential is None
    given = caller_codec.given_key(received)
    assert (given is None) == (not values)
    assert given is None or given.credential is None


def test_no_repr_of_a_request_holds_the_key() -> None:
    """Guards against keys in log lines and errors that print a request."""
    received = _received(_BEARER)
    request = caller_codec.request_from_http(received)
    call = forward_messages.SearcherCall(
        'q1', 'i-7', request.payload, request.deadline
    )
    for value in (received, request, request.payload, call):
        assert _KEY.decode() not in repr(value)


def _sent_headers(
    clock: clock_module.ManualClock,
    identity: forward_messages.CallerIdentity | None,
    *extra: tuple[bytes, bytes],
) -> forward_messages.Headers:
    request = caller_codec.request_from_http(
        _received(*extra, received_s=clock.monotonic())
    )
    call = forward_messages.SearcherCall(
        'q1', 'i-7', request.payload, request.deadline, identity
    )
    return searcher_codec._request(call, clock).headers


_CALLERS_IDENTITY = (
    _BEARER,
    (b'x-tenant', b'evil'),
    (b'x-tenant', b'evil-2'),
)


def test_headers_without_tenants_are_forwarded_as_before() -> None:
    """Guards against a change for deployments without tenants.

    Their searchers may use these headers in their own way.
    """
    clock = clock_module.ManualClock(0.0)
    assert _sent_headers(clock, None, *_CALLERS_IDENTITY) == (
        (b'host', b'A.example'),
        (b'x-request-id', b'q1'),
        (b'accept', b'*/*'),
        *_CALLERS_IDENTITY,
        (b'x-deadline-ms', b'300'),
        (b'x-target-instance', b'i-7'),
        (b'content-length', b'4'),
    )


def test_searcher_receives_the_workspace_in_place_of_the_key(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against a key that leaves the host.

    Also guards against a caller that names another workspace itself.
    """
    sent = _sent_headers(
        clock, forward_messages.CallerIdentity('kami770'), *_CALLERS_IDENTITY
    )
    assert [v for n, v in sent if n == b'x-tenant'] == [b'kami770']
    assert b'authorization' not in dict(sent)
    assert _KEY not in b' '.join(v for _, v in sent)


def test_request_without_a_key_has_no_workspace(
    clock: clock_module.ManualClock,
) -> None:
    """Guards against a workspace that a caller of a public route claims."""
    sent = _sent_headers(
        clock, forward_messages.CallerIdentity(None), *_CALLERS_IDENTITY
    )
    assert not {b'x-tenant', b'authorization'} & dict(sent).keys()


def test_unauthenticated_is_answered_with_401() -> None:
    """Guards against a status after which callers repeat the request."""
    response = caller_codec.answer_to_http(
        forward_messages.Failure(Code.UNAUTHENTICATED, 'no key'), b'q1'
    )
    assert response.status == 401
    assert dict(response.headers) == {
        b'x-request-id': b'q1',
        b'www-authenticate': b'Bearer',
    }
