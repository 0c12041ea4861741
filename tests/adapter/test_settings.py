"""Settings of the platform: unknown, missing and invalid fields."""

import pathlib

import attrs
import pytest

from corianderport_daemon.process import entry_settings
from corianderport_platform import settings
from corianderport_platform import store
from corianderport_tier import errors
from corianderport_tier.process import host_bounds

_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'

TEXT = """
node = "edge-a-1"
role = "entry"
ip = "127.0.0.1"
zone = "west-a"
seed_addrs = ["127.0.0.1:7001"]
something_new = 5
[zones]
west-a = "west"
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
control = "127.0.0.1:0"
[bounds]
grace_s = 6
contact_ms = 4000
retry_ratio = 0.2
retry_slack = 52
retry_window_s = 10
warmup_excess = 1.5
warmup_slack = 5
[platform]
addr = "127.0.0.1:8229"
"""


def _load(path: pathlib.Path, text: str) -> entry_settings.EntrySettings:
    path.write_text(text)
    return settings.load({settings.PATH_VARIABLE: str(path)})


@pytest.mark.parametrize(
    ('limits', 'link_bytes_s'),
    [('', 1_250_000.0), ('[limits]\nlink_mbps = 100.0\n', 12_500_000.0)],
)
def test_capacity_of_the_link(
    tmp_path: pathlib.Path, limits: str, link_bytes_s: float
) -> None:
    """Guards against changes relayed faster than the host's link allows."""
    loaded = _load(tmp_path / 'x', TEXT + limits)
    assert loaded.link_bytes_s == link_bytes_s


def test_fields(tmp_path: pathlib.Path) -> None:
    """Guards against a setting read from the wrong field.

    The metrics port is in the environment, and the file has a field that
    this version does not know.
    """
    (tmp_path / 'x').write_text(TEXT)
    loaded = settings.load(
        {
            settings.PATH_VARIABLE: str(tmp_path / 'x'),
            'CORIANDERPORT_METRICS_PORT': '9100',
        }
    )
    assert loaded.host == 'edge-a-1'
    assert loaded.data_centre == 'west-a'
    assert loaded.regions == {'west-a': 'west'}
    assert loaded.metrics_address == '127.0.0.1:9100'
    assert loaded.fleet.extra_slack == 52


def test_silent_watch_is_abandoned_within_the_contact_time(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against changes that take effect after the contact time.

    A store that drops its history may never respond to a watch. A version
    published at 7.1 s was then not active at 12.3 s (seed 593641689301 of
    scale-2 on the second site).
    """
    (tmp_path / 'x').write_text(TEXT)
    loaded = settings.load({settings.PATH_VARIABLE: str(tmp_path / 'x')})
    reserve_s = 0.5
    assert loaded.watch_s + store.CALL_TIMEOUT_S + reserve_s < 4.0


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('node = "edge-a-1"', '', 'node'),
        ('front = "127.0.0.1:0"', 'front = 5', 'listen.front'),
        ('grace_s = 6', 'grace_s = "long"', 'grace_s'),
        ('addr = "127.0.0.1:8229"', '', 'platform.addr'),
        ('[bounds]', '[bounds', 'x: Expected'),
    ],
)
def test_invalid_fields_are_named(
    tmp_path: pathlib.Path, old: str, new: str, named: str
) -> None:
    """Guards against starting with an invalid setting.

    A field is missing or has a wrong type, or the file cannot be parsed.
    The message names the field, or the file.
    """
    with pytest.raises(errors.SettingInvalid, match=named):
        _load(tmp_path / 'x', TEXT.replace(old, new))


def test_missing_file_and_variable(tmp_path: pathlib.Path) -> None:
    """Guards against starting without settings.

    The variable that names the file is not set, or the file is missing.
    """
    with pytest.raises(errors.SettingInvalid, match=settings.PATH_VARIABLE):
        settings.load({})
    with pytest.raises(errors.SettingInvalid):
        settings.load({settings.PATH_VARIABLE: str(tmp_path / 'none')})


def _with_bounds(text: str) -> str:
    return TEXT.replace('[platform]', text + '\n[platform]')


@pytest.mark.parametrize(
    ('text', 'revoke_s'),
    [
        ('', None),
        ('strict_revoke = false', None),
        ('revoke_ms = 6000', None),
        ('strict_revoke = true', 5.0),
        ('strict_revoke = true\nrevoke_ms = 6000', 6.0),
    ],
)
def test_revocation_time(
    tmp_path: pathlib.Path, text: str, revoke_s: float | None
) -> None:
    """Guards against strict mode that nobody asked for, or that is ignored."""
    assert _load(tmp_path / 'x', _with_bounds(text)).revoke_s == revoke_s


@pytest.mark.parametrize(
    'text',
    [
        'strict_revoke = "true"',
        'strict_revoke = 1',
        'strict_revoke = true\nrevoke_ms = 1999',
        'revoke_ms = -1',
        'revoke_ms = "soon"',
        'revoke_ms = nan',
    ],
)
def test_invalid_revocation_time_is_refused(
    tmp_path: pathlib.Path, text: str
) -> None:
    """Guards against a host that refuses every key, or checks none."""
    with pytest.raises(errors.SettingInvalid, match='bounds.*revoke'):
        _load(tmp_path / 'x', _with_bounds(text))


@attrs.frozen
class _Row:
    """A line of the table of variables in docs/settings.md."""

    variable: str
    default: str
    allowed: str


def _rows() -> dict[str, _Row]:
    section = _PAGE.read_text().partition('\n## ')[2]
    lines = [line for line in section.splitlines() if line[:3] == '| `']
    cells = [[c.strip().strip('`') for c in line.split('|')] for line in lines]
    return {c[1]: _Row(c[1], c[3], c[4]) for c in cells}


def _load_with(
    path: pathlib.Path, variable: str, value: object
) -> host_bounds.HostBounds:
    path.write_text(TEXT)
    environment = {settings.PATH_VARIABLE: str(path), variable: str(value)}
    return settings.load(environment).limits


@pytest.mark.parametrize('name', settings.BOUND_VARIABLES)
def test_variables_of_the_bounds(tmp_path: pathlib.Path, name: str) -> None:
    """Guards against bounds that the page states wrongly or leaves out."""
    path = tmp_path / 'x'
    variable, least, most = settings.BOUND_VARIABLES[name]
    row = _rows()[variable]
    bounds = _load_with(path, 'OTHER', '')
    assert row.default == str(getattr(bounds.callers, name))
    assert [float(n) for n in row.allowed.split(' to ')] == [least, most]
    for value in (least, most):
        changed = _load_with(path, variable, value)
        assert getattr(changed.callers, name) == value
        assert changed.admin == bounds.admin
    for value in (least - 1, most + 1, 'x', ''):
        with pytest.raises(errors.SettingInvalid, match=variable):
            _load_with(path, variable, value)


def test_page_lists_every_variable() -> None:
    """Guards against lines about variables that have no effect."""
    listed = [variable for variable, _, _ in settings.BOUND_VARIABLES.values()]
    assert list(_rows()) == listed


def test_bounds_follow_from_the_machine(tmp_path: pathlib.Path) -> None:
    """Guards against bounds of another machine than the one in the file."""
    limits = '[limits]\nram_mb = 300\nmax_fds = 10436\n'
    loaded = _load(tmp_path / 'x', TEXT + limits).limits
    assert loaded == host_bounds.HostBounds.from_machine(300, 10_436)
    for name in ('ram_mb', 'max_fds'):
        with pytest.raises(errors.SettingInvalid, match=f'limits.{name}'):
            _load(tmp_path / 'x', f'{TEXT}[limits]\n{name} = "many"\n')


@pytest.mark.parametrize(
    ('text', 'bounds'),
    [
        ('', None),
        ('quota_window_s = 5', (5.0, 0.25, 20.0)),
        ('quota_slack = 8', (5.0, 0.25, 8.0)),
        (
            'quota_window_s = 10\nquota_excess = 0.5\nquota_slack = 0',
            (10.0, 0.5, 0.0),
        ),
    ],
)
def test_bounds_of_quotas(
    tmp_path: pathlib.Path,
    text: str,
    bounds: tuple[float, float, float] | None,
) -> None:
    """Guards against quotas that nobody asked for, or that are ignored."""
    quota = _load(tmp_path / 'x', _with_bounds(text)).quota
    assert (None if quota is None else attrs.astuple(quota)) == bounds


@pytest.mark.parametrize(
    'text',
    [
        'quota_window_s = 0',
        'quota_window_s = "long"',
        'quota_excess = -0.1',
        'quota_slack = nan',
    ],
)
def test_invalid_bounds_of_quotas_are_refused(
    tmp_path: pathlib.Path, text: str
) -> None:
    """Guards against a bound that refuses every request, or none."""
    with pytest.raises(errors.SettingInvalid, match=r'bounds\.quota'):
        _load(tmp_path / 'x', _with_bounds(text))


@pytest.mark.parametrize(
    ('variable', 'expected'),
    [(None, 'auto'), ('expected-finish', 'expected-finish')],
)
def test_placement(
    tmp_path: pathlib.Path, variable: str | None, expected: str
) -> None:
    """Guards against a changed placement where none is set."""
    (tmp_path / 'x').write_text(TEXT)
    environment = {settings.PATH_VARIABLE: str(tmp_path / 'x')}
    if variable is not None:
        environment['CORIANDERPORT_PLACEMENT'] = variable
    assert settings.load(environment).placement == expected


@pytest.mark.parametrize(
    ('variable', 'expected'), [(None, 'auto'), ('urgency', 'urgency')]
)
def test_send_order(
    tmp_path: pathlib.Path, variable: str | None, expected: str
) -> None:
    """Guards against a changed order of sends where none is set."""
    (tmp_path / 'x').write_text(TEXT)
    environment = {settings.PATH_VARIABLE: str(tmp_path / 'x')}
    if variable is not None:
        environment['CORIANDERPORT_SEND_ORDER'] = variable
    assert settings.load(environment).send_order == expected


def test_unknown_placement_is_named(tmp_path: pathlib.Path) -> None:
    """Guards against a host that ignores a misspelt policy."""
    (tmp_path / 'x').write_text(TEXT)
    with pytest.raises(errors.SettingInvalid, match='CORIANDERPORT_PLACEMENT'):
        settings.load(
            {
                settings.PATH_VARIABLE: str(tmp_path / 'x'),
                'CORIANDERPORT_PLACEMENT': 'least_loaded',
            }
        )
