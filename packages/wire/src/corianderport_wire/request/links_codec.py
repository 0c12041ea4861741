"""corianderport_wire.request.links_codec

The bytes that a host exchanges, as JSON on the metrics address.
"""

import collections.abc

import cattrs
import cattrs.preconf.orjson
import orjson

from corianderport_tier.process import link_report
from corianderport_wire.connection import caller_listener

__all__ = ['PATH', 'decode', 'respond']

PATH = '/links'
_CONVERTER = cattrs.preconf.orjson.make_converter()
_JSON = ((b'content-type', b'application/json'),)
_OK = 200

Report = collections.abc.Callable[[], link_report.HostLinks]


def respond(report: Report) -> caller_listener.HttpResponse:
    """Answer a request for the bytes that the host exchanges."""
    fields = _CONVERTER.unstructure(report())
    return caller_listener.HttpResponse(_OK, _JSON, orjson.dumps(fields))


def decode(status: int, body: bytes) -> link_report.HostLinks | None:
    """Decode the answer of a host.

    :return: None if the host is of a version without this answer: it has no
        such path, or answers each path with its metrics.
    """
    if status != _OK:
        return None
    try:
        return _CONVERTER.structure(orjson.loads(body), link_report.HostLinks)
    except (
        cattrs.BaseValidationError,
        orjson.JSONDecodeError,
        TypeError,
    ):
        return None
