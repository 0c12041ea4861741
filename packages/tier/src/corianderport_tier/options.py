"""corianderport_tier.options

Helpers that check one option and raise an error that names it.
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
    """Return the value as a float within bounds.

    :raises error: names the option, the value and the range.
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
    """Return the value as a float from 0 to 1."""
    return number(name, value, 0.0, 1.0, error)


def choice(
    name: str,
    value: object,
    allowed: collections.abc.Collection[str],
    error: type[errors.CorianderportError] = errors.MalformedRequest,
) -> str:
    """Return the value when it is one of the allowed strings."""
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
    """Return the value when it is a printable string of 1 to 200."""
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
