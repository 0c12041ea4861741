"""corianderport_wire.faults

Maps result codes received from another host to exceptions.
"""

from corianderport_tier import errors
from corianderport_tier import result_codes

__all__ = ['from_code']


def _classes_by_code(
    base: type[errors.CorianderportError],
) -> dict[result_codes.ResultCode, type[errors.CorianderportError]]:
    classes: dict[
        result_codes.ResultCode, type[errors.CorianderportError]
    ] = {}
    for error_class in base.__subclasses__():
        classes.update(_classes_by_code(error_class))
        if not issubclass(error_class, errors.TransportError):
            classes[error_class.code] = error_class
    return classes


_ERROR_CLASSES = _classes_by_code(errors.CorianderportError)


def from_code(code: int, text: str) -> errors.CorianderportError:
    """Return the exception for a result code.

    A code that this version does not know becomes an internal error.
    """
    try:
        error_class = _ERROR_CLASSES[result_codes.ResultCode(code)]
    except (KeyError, ValueError):
        return errors.CorianderportError(f'{code}: {text}')
    return error_class(text)
