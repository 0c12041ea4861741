"""corianderport_wire.request.report_codec

Reports of a host to operators, as JSON on the metrics address.
"""

import collections.abc
import typing

import attrs
import cattrs
import cattrs.preconf.orjson
import orjson

from corianderport_tier.process import link_report
from corianderport_tier.process import workspace_activity
from corianderport_wire.connection import caller_listener

__all__ = ['LINKS', 'ReportCodec', 'WORKSPACES']

_CONVERTER = cattrs.preconf.orjson.make_converter()
_JSON = ((b'content-type', b'application/json'),)
_OK = 200

T = typing.TypeVar('T')


@attrs.frozen
class ReportCodec(typing.Generic[T]):
    """Encodes and decodes one kind of report, an ``attrs`` class.

    ``path`` is that of the report on the metrics address.
    """

    path: str
    kind: type[T]

    def respond(
        self, report: collections.abc.Callable[[], T]
    ) -> caller_listener.HttpResponse:
        """Answer a request for the report."""
        fields = _CONVERTER.unstructure(report())
        return caller_listener.HttpResponse(_OK, _JSON, orjson.dumps(fields))

    def decode(self, status: int, body: bytes) -> T | None:
        """Decode the answer of a host.

        :return: None if the host is of a version without this report: it has
            no such path, or answers each path with its metrics.
        """
        if status != _OK:
            return None
        try:
            return _CONVERTER.structure(orjson.loads(body), self.kind)
        except (
            cattrs.BaseValidationError,
            orjson.JSONDecodeError,
            TypeError,
        ):
            return None


# What becomes of the requests of each workspace.
WORKSPACES = ReportCodec('/workspaces', workspace_activity.HostActivity)
# The bytes that the host exchanges.
LINKS = ReportCodec('/links', link_report.HostLinks)
