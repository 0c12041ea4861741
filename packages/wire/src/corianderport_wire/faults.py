"""corianderport_wire.faults

Maps result codes on the wire to exceptions and back.
"""

from corianderport_tier import errors
from corianderport_tier import result_codes

__all__ = ['from_code']


def _by_code(
    base: type[errors.CorianderportError],
) -> dict[result_codes.ResultCode, type[errors.CorianderportError]]:
    found: dict[result_codes.ResultCode, type[errors.CorianderportError]] = {}
    for kind in base.__subclasses__():
        found.update(_by_code(kind))
        if not issubclass(kind, errors.TransportError):
            found[kind.code] = kind
    return found


_KINDS = _by_code(errors.CorianderportError)


def from_code(code: int, text: str) -> errors.CorianderportError:
    """Return the exception of a code; unknown codes are internal errors."""
    try:
        kind = _KINDS[result_codes.ResultCode(code)]
    except (KeyError, ValueError):
        return errors.CorianderportError(f'{code}: {text}')
    return kind(text)
