"""corianderport_tier.options

Validates single options; each error names the option.
"""

import collections.abc
import typing

from corianderport_tier import errors

__all__ = ['choice', 'fraction', 'identifier', 'number']

_IDENTIFIER_LENGTH = 200


def number(
    name: str,
    value: object,
    minimum: float,
    maximum: float,
    error: type[errors.CorianderportError] = errors.MalformedRequest,
) -> float:
    """Return the value as a float within the given range.

    :raises error: the value is not a number in the range.
    """
    try:
        checked = float(typing.cast(typing.Any, value))
    except (TypeError, ValueError):
        checked = float('nan')
    if not minimum <= checked <= maximum:
        raise error(
            f'{name}: {value!r} is not a number from {minimum:g} to '
            f'{maximum:g}'
        )
    return checked


def fraction(
    name: str,
    value: object,
    error: type[errors.CorianderportError] = errors.MalformedRequest,
) -> float:
    """Return the value as a float between 0 and 1."""
    return number(name, value, 0.0, 1.0, error)


def choice(
    name: str,
    value: object,
    allowed: collections.abc.Collection[str],
    error: type[errors.CorianderportError] = errors.MalformedRequest,
) -> str:
    """Return the value if it is one of the allowed strings."""
    if not isinstance(value, str) or value not in allowed:
        raise error(
            f'{name}: {value!r} is not one of {", ".join(sorted(allowed))}'
        )
    return value


def identifier(
    name: str,
    value: object,
    error: type[errors.CorianderportError] = errors.MalformedRequest,
) -> str:
    """Return the value if it is a printable, non-empty short string.

    The maximum length is 200 characters.
    """
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= _IDENTIFIER_LENGTH
        or not value.isprintable()
    ):
        raise error(
            f'{name}: {str(value)[:40]!r} is not a printable string of 1 to '
            f'{_IDENTIFIER_LENGTH} characters'
        )
    return value
