"""Settings of the platform: unknown, missing and invalid fields."""

import pathlib

import pytest

from corianderport_daemon.process import entry_settings
from corianderport_platform import settings
from corianderport_platform import store
from corianderport_tier import errors

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
