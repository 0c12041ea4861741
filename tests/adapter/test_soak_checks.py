"""Checks and proxies of the fault soak."""

import contextlib
import socket
import typing

import attrs
import pytest

from . import raw_searcher
from .soak.connection import proxy
from .soak.process import checks
from .soak.process import site
from .soak.request import observations
from .soak.version import configuration
from .soak.version import faults
from .soak.version import timeline

_RUN = observations.Run(
    'q1', 'i-desk-0', 'gamma', 100.0, False, 200, (b'body',)
)
_SENT = observations.Sent(
    'q1', 0, configuration.ONCE, configuration.KEYS['gamma'], 99.9, 100.1,
    1.0, True, 200, '', 'q1', 'i-desk-0.q1', b'body',
)  # fmt: skip
_REFUSED: dict[str, typing.Any] = {'status': 503, 'stamps': '', 'body': b''}
_RECORDS = [bytes([letter]) * 16 for letter in b'abcd']
_PART = attrs.evolve(
    _RUN, searcher='i-stock-1-0', contents=(b''.join(_RECORDS[:2]),)
)
_OTHER_PART = attrs.evolve(
    _RUN, searcher='i-stock-2-0', contents=(b''.join(_RECORDS[2:]),)
)
_GATHERED = attrs.evolve(
    _SENT,
    path=configuration.GATHERED,
    stamps='i-stock-1-0.q1, i-stock-2-0.q1',
    body=b''.join(reversed(_RECORDS)),
)


def _record(
    sent: tuple[observations.Sent, ...] = (_SENT,),
    runs: tuple[observations.Run, ...] = (_RUN,),
    **changes: typing.Any,
) -> checks.Record:
    record = checks.Record(
        timeline.without_faults(2, 6.0),
        sent,
        runs,
        (),
        (),
        {'alpha': 10.0, 'beta': 0.0, 'gamma': 0.0},
        (),
        (),
    )
    return attrs.evolve(record, **changes)


def _sent(**changes: typing.Any) -> checks.Record:
    return _record((attrs.evolve(_SENT, **changes),))


def _run(**changes: typing.Any) -> checks.Record:
    return _record(runs=(attrs.evolve(_RUN, **changes),))


def _alpha_runs(count: int) -> checks.Record:
    return _record(
        runs=tuple(
            attrs.evolve(_RUN, request_id=f'q{n}', workspace='alpha')
            for n in range(count)
        )
    )


# (rate x window + burst) x 1.25 + 20 of the workspace ``alpha``.
_QUOTA = 88
_KEY_REMOVED = site.KeyRemoval('gamma', 94.0, 102.0)
_SEARCHER_REMOVED = site.SearcherRemoval('i-desk-0', 96.3, 102.0)
_KILLED = timeline.Timeline(
    1, 2, 6.0, (timeline.Event(1.0, 2.0, faults.Kill(0)),)
)


@pytest.mark.parametrize(
    ('check', 'record'),
    [
        (checks.refused_requests_have_not_run, _sent(**_REFUSED)),
        (
            checks.non_idempotent_requests_run_at_most_once,
            _record(runs=(_RUN, _RUN)),
        ),
        (checks.responses_belong_to_requests, _sent(answered_id='q2')),
        (checks.responses_belong_to_requests, _sent(body=b'bod')),
        (checks.responses_belong_to_requests, _sent(status=404)),
        (checks.responses_belong_to_requests, _sent(stamps='')),
        (checks.responses_belong_to_requests, _record(runs=())),
        (checks.responses_belong_to_requests, _run(contents=None)),
        (
            checks.responses_belong_to_requests,
            _record((_GATHERED,), (_PART, _RUN)),
        ),
        (checks.keys_stay_secret, _run(shows_key=True)),
        (
            checks.removed_keys_are_refused,
            _record(runs=(), key_removals=(_KEY_REMOVED,)),
        ),
        (
            checks.removed_keys_are_refused,
            attrs.evolve(
                _sent(status=0, error='cut'), key_removals=(_KEY_REMOVED,)
            ),
        ),
        (checks.quotas_hold, _alpha_runs(_QUOTA + 1)),
        (checks.processes_stay_alive, _record(failures=('host 0',))),
        (checks.service_returns, _record(unserved=('host 0',))),
        (checks.requests_end, _sent(status=0, error='timeout')),
        (checks.requests_end, _sent(end_s=111.0)),
        (checks.requests_are_answered, _sent(status=0, error='closed')),
        (
            checks.requests_within_limits_are_accepted,
            _sent(status=431, stamps=''),
        ),
        (
            checks.removed_searchers_are_left_alone,
            _record(searcher_removals=(_SEARCHER_REMOVED,)),
        ),
    ],
)
def test_violation_is_found(
    check: checks.Check, record: checks.Record
) -> None:
    """Guards against a check that finds nothing."""
    assert check(record)


@pytest.mark.parametrize(
    'record',
    [
        _record(),
        # A reply of a searcher that looks like a refusal of the host.
        attrs.evolve(
            _sent(status=404), runs=(attrs.evolve(_RUN, status=404),)
        ),
        _record((attrs.evolve(_SENT, **_REFUSED),), ()),
        _record((_GATHERED,), (_PART, _OTHER_PART)),
        # Within the time for which the key may still be used.
        _record(key_removals=(site.KeyRemoval('gamma', 96.0, 102.0),)),
        # The answer may have been given after the key was restored.
        _record(key_removals=(site.KeyRemoval('gamma', 94.0, 100.0),)),
        _record(searcher_removals=(site.SearcherRemoval('i-desk-0', 96.5),)),
        attrs.evolve(_sent(status=0, error='closed'), plan=_KILLED),
    ],
)
def test_permitted_behaviour_is_no_violation(record: checks.Record) -> None:
    """Guards against checks that fail for what hosts may do."""
    for check in checks.GUARANTEES + checks.FURTHER:
        assert not check(record)


def test_quota_that_is_used_up_is_no_violation() -> None:
    """Guards against a bound that is stricter than the promised one."""
    assert not checks.quotas_hold(_alpha_runs(_QUOTA))


_REQUEST = b'GET / HTTP/1.1\r\nX-Request-Id: q1\r\n\r\n'
_TIMEOUT_S = 5.0
_SILENCE_S = 0.3
_REPLY_END = b'\r\n\r\nbody'


def _read(connection: socket.socket) -> bytes | None:
    """Return a whole reply or all bytes until the end, None after a reset."""
    received = b''
    try:
        while not received.endswith(_REPLY_END) and (
            part := connection.recv(65_536)
        ):
            received += part
    except TimeoutError:
        return received
    except ConnectionResetError:
        return None
    return received


def _exchange(
    effect: proxy.Effect, is_open: bool, wait_s: float = _TIMEOUT_S
) -> bytes | None:
    """Return what arrives through a proxy with an effect.

    :param wait_s: time without bytes after which the link counts as silent.
    """
    with contextlib.ExitStack() as stack:
        searcher = raw_searcher.RawSearcher(raw_searcher.PlainAnswer(b'body'))
        stack.callback(searcher.close)
        host, _, port = searcher.address.rpartition(':')
        link = proxy.Proxy((host, int(port)))
        stack.callback(link.close)
        host, _, port = link.address.rpartition(':')
        if not is_open:
            link.apply(effect)
        connection = stack.enter_context(
            socket.create_connection((host, int(port)), _TIMEOUT_S)
        )
        if is_open:
            connection.sendall(_REQUEST)
            while b'body' not in connection.recv(65_536):
                pass
            link.apply(effect)
        connection.settimeout(wait_s)
        try:
            connection.sendall(_REQUEST)
        except ConnectionResetError:
            # Reported once: the next read would only return the end.
            return None
        except BrokenPipeError:
            pass
        return _read(connection)


def test_links_have_the_effects_of_their_faults() -> None:
    """Guards against faults that disturb nothing."""
    whole = _exchange(proxy.NoEffect(), is_open=True)
    assert whole is not None and whole.endswith(_REPLY_END)
    assert _exchange(proxy.Delay(seconds=0.05), is_open=True) == whole
    assert _exchange(proxy.Reset(share=0.0), is_open=True) is None
    assert _exchange(proxy.Reset(share=1.0), is_open=False) is None
    directions: tuple[proxy.Direction, ...] = ('request', 'reply')
    for direction in directions:
        silence = proxy.Silence(directions=frozenset([direction]))
        assert _exchange(silence, True, _SILENCE_S) == b''
        assert _exchange(silence, is_open=False) == whole
        silence = attrs.evolve(silence, with_new=True)
        assert _exchange(silence, False, _SILENCE_S) == b''
    cut = _exchange(proxy.Truncate(place='head', share=1.0), is_open=True)
    assert cut is not None and 0 < len(cut) < 12
    cut = _exchange(proxy.Truncate(place='body', share=1.0), is_open=True)
    assert cut is not None and cut.endswith(b'\r\n\r\nbo')
