"""corianderport_wire.request.workspaces_codec

The activity of workspaces at a host, as JSON on the metrics address.
"""

import collections.abc

import cattrs
import cattrs.preconf.orjson
import orjson

from corianderport_tier.process import workspace_activity
from corianderport_wire.connection import caller_listener

__all__ = ['PATH', 'decode', 'respond']

PATH = '/workspaces'
_CONVERTER = cattrs.preconf.orjson.make_converter()
_JSON = ((b'content-type', b'application/json'),)
_OK = 200

Report = collections.abc.Callable[[], workspace_activity.HostActivity]


def respond(report: Report) -> caller_listener.HttpResponse:
    """Answer a request for the activity of workspaces."""
    fields = _CONVERTER.unstructure(report())
    return caller_listener.HttpResponse(_OK, _JSON, orjson.dumps(fields))


def decode(status: int, body: bytes) -> workspace_activity.HostActivity | None:
    """Decode the answer of a host.

    :return: None if the host is of a version without this answer: it has no
        such path, or answers each path with its metrics.
    """
    if status != _OK:
        return None
    try:
        return _CONVERTER.structure(
            orjson.loads(body), workspace_activity.HostActivity
        )
    except (
        cattrs.BaseValidationError,
        orjson.JSONDecodeError,
        TypeError,
    ):
        return None
