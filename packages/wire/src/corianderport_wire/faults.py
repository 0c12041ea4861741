"""corianderport_wire.faults

Maps result codes received from another host to exceptions.
"""

from corianderport_tier import errors
from corianderport_tier import result_codes

__all__ = ['from_code']


def _classes_by_code(
    base: type[errors.CorianderportError],
) -> dict[result_codes.ResultCode, type[errors.CorianderportError]]:
    found: dict[result_codes.ResultCode, type[errors.CorianderportError]] = {}
    for kind in base.__subclasses__():
        found.update(_classes_by_code(kind))
        if not issubclass(kind, errors.TransportError):
            found[kind.code] = kind
    return found


_ERROR_CLASSES = _classes_by_code(errors.CorianderportError)


def from_code(code: int, text: str) -> errors.CorianderportError:
    """Return the exception for a result code.

    A code that this version does not know becomes an internal error.
    """
    try:
        kind = _ERROR_CLASSES[result_codes.ResultCode(code)]
    except (KeyError, ValueError):
        return errors.CorianderportError(f'{code}: {text}')
    return kind(text)
