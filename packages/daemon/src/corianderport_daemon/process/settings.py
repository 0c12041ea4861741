"""corianderport_daemon.process.settings

Settings of the daemon, read from flags and environment variables.
"""

import collections.abc
import ipaddress

import environ

from corianderport_tier import errors
from corianderport_tier import options
from corianderport_tier.process import selection
from corianderport_tier.process import tickets
from corianderport_wire.connection import peer_authentication
from corianderport_wire.process import json_log

__all__ = ['PREFIX', 'Settings', 'load', 'names']

PREFIX = 'CORIANDERPORT'


def _text(name: str) -> collections.abc.Callable[[object], str]:
    def convert(value: object) -> str:
        return options.identifier(name, value, errors.SettingInvalid)

    return convert


def _choice(
    name: str, allowed: collections.abc.Collection[str]
) -> collections.abc.Callable[[object], str]:
    def convert(value: object) -> str:
        return options.choice(name, value, allowed, errors.SettingInvalid)

    return convert


def _number(
    name: str, minimum: float, maximum: float
) -> collections.abc.Callable[[object], float]:
    def convert(value: object) -> float:
        return options.number(
            name, value, minimum, maximum, errors.SettingInvalid
        )

    return convert


def _whole(
    name: str, minimum: int, maximum: int
) -> collections.abc.Callable[[object], int]:
    def convert(value: object) -> int:
        number = _number(name, minimum, maximum)(value)
        if not number.is_integer():
            raise errors.SettingInvalid(
                f'{name}: {value!r} is not a whole number'
            )
        return int(number)

    return convert


def _policy(value: object) -> str:
    """Return the name of an existing selection policy."""
    selection.policy(str(value))
    return str(value)


def _address(name: str) -> collections.abc.Callable[[object], str]:
    def convert(value: object) -> str:
        host, _, port = str(value).rpartition(':')
        try:
            ipaddress.ip_address(host)
        except ValueError as error:
            raise errors.SettingInvalid(
                f'{name}: {value!r} is not an IP address and a port'
            ) from error
        _whole(name, 0, 65_535)(port)
        return str(value)

    return convert


def _shared_keys(value: object) -> str:
    text = str(value)
    tickets.TicketSigner.from_config(text)
    peer_authentication.SharedKeys.from_text(text)
    return text


@environ.config(prefix=PREFIX, frozen=True)
class Settings:
    """All settings of the daemon; name suffixes give the units of times."""

    host: str = environ.var(
        converter=_text('host'), help='Name of this host, unique.'
    )
    data_centre: str = environ.var(
        converter=_text('data_centre'), help='Data centre of this host.'
    )
    platform: str = environ.var(
        converter=_address('platform'),
        help='Address of the configuration service and host list.',
    )
    shared_keys: str = environ.var(
        converter=_shared_keys,
        help='Keys of all hosts, comma-separated; the first one signs.',
    )
    caller_address: str = environ.var(
        '127.0.0.1:0',
        converter=_address('caller_address'),
        help='Where callers connect; port 0 takes a free one.',
    )
    peer_address: str = environ.var(
        '127.0.0.1:0',
        converter=_address('peer_address'),
        help='Where other hosts connect; port 0 takes a free one.',
    )
    admin_address: str = environ.var(
        '127.0.0.1:0',
        converter=_address('admin_address'),
        help='Where operators read the state; port 0 takes a free one.',
    )
    caller_connections: int = environ.var(
        256,
        converter=_whole('caller_connections', 1, 10_000),
        help='Connections of callers served at once.',
    )
    peer_connections: int = environ.var(
        512,
        converter=_whole('peer_connections', 1, 10_000),
        help='Connections of other hosts served at once.',
    )
    caller_idle_s: float = environ.var(
        30.0,
        converter=_number('caller_idle_s', 0.1, 3_600),
        help='Seconds after which an idle or slow caller is closed.',
    )
    body_bytes: int = environ.var(
        65_536,
        converter=_whole('body_bytes', 256, 16_777_216),
        help='Largest request body, bytes.',
    )
    tasks: int = environ.var(
        2_000,
        converter=_whole('tasks', 16, 20_000),
        help='Tasks for upstream and peer connections.',
    )
    ticket_lifetime_ms: int = environ.var(
        60_000,
        converter=_whole('ticket_lifetime_ms', 100, 600_000),
        help='Milliseconds after which a ticket expires.',
    )
    ticket_retention_ms: int = environ.var(
        60_000,
        converter=_whole('ticket_retention_ms', 0, 600_000),
        help='Milliseconds that an outcome is kept after the expiry.',
    )
    open_tickets: int = environ.var(
        20_000,
        converter=_whole('open_tickets', 1, 1_000_000),
        help='Tickets of this host that have not expired.',
    )
    drain_lag_s: float = environ.var(
        5.0,
        converter=_number('drain_lag_s', 0, 600),
        help='Seconds that a stopping host still serves new requests.',
    )
    drain_limit_s: float = environ.var(
        10.0,
        converter=_number('drain_limit_s', 0, 600),
        help='Seconds for running requests to end before the host exits.',
    )
    selection: str = environ.var(
        'power-of-two',
        converter=_policy,
        help='Policy that chooses among the searchers of a service.',
    )
    heartbeat_s: float = environ.var(
        1.0,
        converter=_number('heartbeat_s', 0.05, 10.0),
        help='Seconds between two heartbeats; a silent host is dead after 3.',
    )
    log_level: str = environ.var(
        'INFO',
        converter=_choice('log_level', json_log.LEVELS),
        help='Least level logged.',
    )


def names() -> tuple[str, ...]:
    """Return the names of all settings."""
    return tuple(Settings.__annotations__)


def load(
    flags: collections.abc.Mapping[str, object],
    variables: collections.abc.Mapping[str, str],
) -> Settings:
    """Return the settings; flags override environment variables.

    :raises SettingInvalid: a setting is unknown, missing or out of range.
    """
    setting_names = names()
    merged: dict[str, str] = {}
    for variable, value in variables.items():
        if variable.startswith(f'{PREFIX}_'):
            name = variable.removeprefix(f'{PREFIX}_').lower()
            options.choice(
                variable, name, setting_names, errors.SettingInvalid
            )
            merged[variable] = value
    for name, flag in flags.items():
        options.choice('flag', name, setting_names, errors.SettingInvalid)
        # Fire parses a value with commas as a tuple.
        parts = flag if isinstance(flag, tuple) else (flag,)
        merged[f'{PREFIX}_{name.upper()}'] = ','.join(str(p) for p in parts)
    try:
        return environ.to_config(Settings, merged)
    except environ.MissingEnvValueError as error:
        missing = sorted(
            str(variable).removeprefix(f'{PREFIX}_').lower()
            for variable in error.args
        )
        raise errors.SettingInvalid(
            '; '.join(f'{name}: missing' for name in missing)
        ) from error
