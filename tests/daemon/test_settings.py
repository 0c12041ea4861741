"""Settings are validated at startup."""

import pytest

from corianderport_daemon.process import settings
from corianderport_tier import errors

_GOOD = {
    'host': 'h',
    'data_centre': 'dc-a',
    'platform': '127.0.0.1:1',
    'shared_keys': 'first key,second key',
}


def test_flag_overrides_variable() -> None:
    """Guards against an environment variable that overrides a flag."""
    variables = {'CORIANDERPORT_HOST': 'other', 'CORIANDERPORT_TASKS': '50'}
    loaded = settings.load(_GOOD, variables)
    assert (loaded.host, loaded.tasks) == ('h', 50)


@pytest.mark.parametrize(
    ('flags', 'text'),
    [
        ({'host': 'h', 'data_centre': 'd'}, 'platform: missing'),
        ({**_GOOD, 'shared_keys': 'first key,'}, 'shared_keys: a key has'),
        ({**_GOOD, 'nonsense': 1}, "flag: 'nonsense' is not one of"),
        ({**_GOOD, 'tasks': 'x'}, "tasks: 'x' is not a number from 16"),
        ({**_GOOD, 'tasks': 16.5}, "tasks: '16.5' is not a whole number"),
        ({**_GOOD, 'tasks': 1}, "tasks: '1' is not a number from 16"),
        ({**_GOOD, 'platform': 'x:1'}, "platform: 'x:1' is not an IP"),
    ],
)
def test_invalid_setting_is_named(flags: dict[str, object], text: str) -> None:
    """Guards against starting with an invalid or ignored setting."""
    with pytest.raises(errors.SettingInvalid, match=text):
        settings.load(flags, {})
