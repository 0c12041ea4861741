"""corianderport_wire.request.admin_app

The read-only administration interface of a host as a WSGI application.
"""

import collections.abc
import logging
import typing

import cattrs.preconf.orjson
import orjson
import werkzeug.exceptions
import werkzeug.routing
import werkzeug.wrappers

from corianderport_tier import errors
from corianderport_tier.process import administration
from corianderport_tier.process import decision_log
from corianderport_tier.process import metrics
from corianderport_wire.process import metrics_text

if typing.TYPE_CHECKING:
    import _typeshed.wsgi

__all__ = ['AdminApp', 'AdminView', 'PATHS']

_LOG = logging.getLogger(__name__)
_CONVERTER = cattrs.preconf.orjson.make_converter()
_JSON = 'application/json'
_OK = 200
_FAILED = 500
_UNAVAILABLE = 503


class AdminView(typing.Protocol):
    """State of the host that the application exposes."""

    def ready(self) -> administration.ReadyView:
        """Return whether the host is ready to serve callers."""

    def version(self) -> administration.VersionView:
        """Return the current version of the configuration."""

    def peers(self) -> tuple[administration.PeerView, ...]:
        """Return the known hosts."""

    def upstreams(self) -> tuple[administration.UpstreamView, ...]:
        """Return the state of each searcher that the host sends to."""

    def decisions(self) -> tuple[decision_log.Decision, ...]:
        """Return the most recent decisions."""

    def totals(self) -> metrics.Totals:
        """Return the metrics."""

    def document(self) -> bytes:
        """Return the document of the current configuration."""


Respond = collections.abc.Callable[[AdminView], werkzeug.wrappers.Response]


class AdminApp:
    """Answers GET requests of operators and of the load balancer."""

    def __init__(self, view: AdminView) -> None:
        self._view = view
        self._urls = werkzeug.routing.Map(
            [
                werkzeug.routing.Rule(path, endpoint=path, methods=['GET'])
                for path in PATHS
            ]
        )

    def __call__(
        self,
        environ: '_typeshed.wsgi.WSGIEnvironment',
        start_response: '_typeshed.wsgi.StartResponse',
    ) -> collections.abc.Iterable[bytes]:
        """Handle an HTTP request."""
        response: werkzeug.wrappers.Response
        try:
            endpoint, _ = self._urls.bind_to_environ(environ).match()
            response = _RESPONSES[endpoint](self._view)
        except werkzeug.exceptions.HTTPException as error:
            refused = errors.MalformedRequest(str(error))
            response = _failure(refused, error.code or _FAILED)
        except errors.CorianderportError as error:
            response = _failure(error, _UNAVAILABLE)
        except Exception:
            _LOG.exception('administration request failed')
            failed = errors.CorianderportError('internal error')
            response = _failure(failed, _FAILED)
        if environ.get('CONTENT_LENGTH') not in (None, '', '0'):
            # The body is not read, so that the connection cannot carry
            # another request.
            response.headers['Connection'] = 'close'
        return response(environ, start_response)


def _failure(
    error: errors.CorianderportError, status: int
) -> werkzeug.wrappers.Response:
    fields = {
        'code': int(error.code),
        'name': error.code.name,
        'detail': str(error),
    }
    return _json(fields, status)


def _json(value: object, status: int = _OK) -> werkzeug.wrappers.Response:
    body = orjson.dumps(_CONVERTER.unstructure(value))
    return werkzeug.wrappers.Response(body, status, content_type=_JSON)


def _ready(view: AdminView) -> werkzeug.wrappers.Response:
    ready = view.ready()
    return _json(ready, _OK if ready.ready else _UNAVAILABLE)


def _metrics(view: AdminView) -> werkzeug.wrappers.Response:
    return werkzeug.wrappers.Response(
        metrics_text.render(view.totals()),
        content_type=metrics_text.CONTENT_TYPE,
    )


def _configuration(view: AdminView) -> werkzeug.wrappers.Response:
    return werkzeug.wrappers.Response(view.document(), content_type=_JSON)


_RESPONSES: dict[str, Respond] = {
    '/ready': _ready,
    '/version': lambda view: _json(view.version()),
    '/peers': lambda view: _json(view.peers()),
    '/upstreams': lambda view: _json(view.upstreams()),
    '/decisions': lambda view: _json(view.decisions()),
    '/metrics': _metrics,
    '/configuration': _configuration,
}
PATHS = tuple(_RESPONSES)
