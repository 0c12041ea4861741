"""Workspaces: the lookup of keys and the values that are refused."""

import pytest

from corianderport_tier.version import workspaces

_KEY = 'rvnz-secret'
_ALPHA = workspaces.Workspace('alpha', 0, 11.0, 11.0)
_BETA = workspaces.Workspace('beta', 1)


def test_each_key_names_its_workspace() -> None:
    """Guards against a request that is counted for another customer."""
    known = workspaces.Workspaces.from_keys(
        [(_KEY, _ALPHA), ('second', _ALPHA), ('third', _BETA)]
    )
    assert known.find(_KEY) is _ALPHA
    assert known.find('second') is _ALPHA
    assert known.find('third') is _BETA
    assert known.find('') is None
    assert known.find(_KEY.upper()) is None
    assert list(known) == [_ALPHA, _BETA]


def test_key_of_two_workspaces_is_refused_without_quoting_it() -> None:
    """Guards against a key in a log line, which readers of logs could use."""
    with pytest.raises(ValueError, match='beta') as caught:
        workspaces.Workspaces.from_keys([(_KEY, _ALPHA), (_KEY, _BETA)])
    assert _KEY not in str(caught.value)


def test_two_definitions_of_a_name_are_refused() -> None:
    """Guards against a quota that depends on which key a request has."""
    other = workspaces.Workspace('alpha', 0, 12.0, 11.0)
    with pytest.raises(ValueError, match='alpha'):
        workspaces.Workspaces.from_keys([(_KEY, _ALPHA), ('second', other)])


@pytest.mark.parametrize(
    'rank, rate_per_s, burst',
    [
        (-1, 0.0, 0.0),
        (0, -1.0, 0.0),
        (0, 0.0, -0.5),
        (0, float('inf'), 0.0),
        (0, 0.0, float('nan')),
    ],
)
def test_number_out_of_range_names_the_workspace(
    rank: int, rate_per_s: float, burst: float
) -> None:
    """Guards against a limit that nothing satisfies."""
    with pytest.raises(ValueError, match='alpha'):
        workspaces.Workspace('alpha', rank, rate_per_s, burst)


@pytest.mark.parametrize('name', ['', ' alpha', 'a\r\nX-Tenant: b', 'x' * 201])
def test_name_that_no_header_can_hold_is_refused(name: str) -> None:
    """Guards against a header that is added through a workspace's name."""
    with pytest.raises(ValueError, match='name'):
        workspaces.Workspace(name, 0)


def test_repr_holds_no_key() -> None:
    """Guards against keys in log lines that print a version."""
    known = workspaces.Workspaces.from_keys([(_KEY, _ALPHA)])
    assert repr(known) == "Workspaces(['alpha'])"
