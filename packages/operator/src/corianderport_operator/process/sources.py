"""corianderport_operator.process.sources

Loads a configuration from a Python script, a JSON document or a host.
"""

import collections.abc
import ipaddress
import pathlib
import runpy
import traceback

from corianderport_operator.connection import admin_client
from corianderport_operator.version import builder
from corianderport_operator.version import printing
from corianderport_tier import errors
from corianderport_tier.version import configuration

__all__ = [
    'load',
    'parse_address',
    'parse_addresses',
    'parse_repeated_addresses',
]

_MAX_PORT = 65_535


def load(source: str) -> configuration.Configuration:
    """Return the configuration of a source without validating it.

    :param source: a Python file with a function ``describe`` that returns
        a Deployment, a JSON document, or the ``admin_address`` of a host.
    :raises SettingInvalid: the source cannot be read.
    :raises ConfigurationInvalid: the source has no well-formed
        configuration.
    """
    path = pathlib.Path(source)
    if not path.exists() and _is_address(source):
        with admin_client.AdminClient(source) as host:
            return printing.parse(host.configuration().decode())
    if path.suffix == '.py' and path.is_file():
        return _load_script(path)
    try:
        text = path.read_text()
    except UnicodeDecodeError as error:
        raise errors.ConfigurationInvalid(f'{source}: {error}') from error
    except OSError as error:
        raise errors.SettingInvalid(
            f'source: {source!r} is not a Python file, a JSON document or '
            f'the admin_address of a host ({error.strerror})'
        ) from error
    try:
        return printing.parse(text)
    except errors.ConfigurationInvalid as error:
        raise errors.ConfigurationInvalid(f'{source}: {error}') from error


def parse_address(name: str, value: str) -> str:
    """Return the value if it is an address ``ip:port``.

    :raises SettingInvalid: it is not such an address.
    """
    if not _is_address(value):
        raise errors.SettingInvalid(
            f'{name}: {value!r} is not an IP address and a port, such as '
            '127.0.0.1:8700'
        )
    return value


def parse_addresses(name: str, value: str) -> tuple[str, ...]:
    """Return the addresses in a comma-separated list.

    :raises SettingInvalid: the list is empty or has a part that is not
        ``ip:port``.
    """
    parts = [part.strip() for part in value.split(',')]
    return tuple(parse_address(name, part) for part in parts)


def parse_repeated_addresses(name: str, value: str) -> tuple[str, ...]:
    """Return the different addresses of a repeated flag, one in each line.

    :raises SettingInvalid: there is none, or one is not ``ip:port``.
    """
    parts = dict.fromkeys(
        parse_address(name, line) for line in value.splitlines()
    )
    if not parts:
        raise errors.SettingInvalid(
            f'{name}: no address is given, such as 127.0.0.1:9464'
        )
    return tuple(parts)


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 1 <= int(port) <= _MAX_PORT


def _load_script(path: pathlib.Path) -> configuration.Configuration:
    try:
        deployment = _call_describe(path)
        if isinstance(deployment, builder.Deployment):
            return deployment.build()
    except errors.ConfigurationInvalid as error:
        raise errors.ConfigurationInvalid(f'{path}: {error}') from error
    except Exception as error:
        line = _error_line(path, error)
        raise errors.ConfigurationInvalid(
            f'{path}, line {line}: {type(error).__name__}: {error}'
        ) from error
    raise errors.ConfigurationInvalid(
        f'{path}: describe() returns {type(deployment).__name__}, not a '
        'Deployment'
    )


def _call_describe(path: pathlib.Path) -> object:
    namespace = runpy.run_path(str(path))
    describe: collections.abc.Callable[[], object] | None
    describe = namespace.get('describe')
    if describe is None:
        raise errors.ConfigurationInvalid('there is no function describe()')
    return describe()


def _error_line(path: pathlib.Path, error: Exception) -> int:
    """Return the line of the innermost frame of the error in the file.

    The result is 0 if no frame belongs to the file.
    """
    if isinstance(error, SyntaxError):
        return error.lineno or 0
    frames = traceback.extract_tb(error.__traceback__)
    lines = [f.lineno for f in frames if f.filename == str(path)]
    return (lines[-1] if lines else 0) or 0
