"""corianderport_wire.request.caller_app

The HTTP interface to callers, as a WSGI application.
"""

import collections.abc
import logging
import typing
import uuid

import attrs
import orjson
import werkzeug.exceptions
import werkzeug.routing
import werkzeug.wrappers

from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier import options
from corianderport_tier.process import ticket_table
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier import result_codes

if typing.TYPE_CHECKING:
    import _typeshed.wsgi

__all__ = [
    'CallerApp',
    'CallerLimits',
    'CallerService',
    'HostState',
    'RequestObserver',
]


_LOG = logging.getLogger(__name__)

_MAX_LIMIT = 1000
_DEFAULT_LIMIT = 10
_MAX_DEADLINE_MS = 60_000.0
_DEFAULT_CUSTOMER = 'default'
_UNKNOWN_ENDPOINT = 'unknown'
_PROBE_ENDPOINT = 'ready'

_HTTP_STATUS = {
    result_codes.ResultCode.OK: 200,
    result_codes.ResultCode.PARTIAL: 200,
    result_codes.ResultCode.MALFORMED_REQUEST: 400,
    result_codes.ResultCode.UNKNOWN_SERVICE: 404,
    result_codes.ResultCode.BODY_TOO_LARGE: 413,
    result_codes.ResultCode.DEADLINE_PAST: 504,
    result_codes.ResultCode.QUOTA_EXCEEDED: 429,
    result_codes.ResultCode.TICKET_INVALID: 403,
    result_codes.ResultCode.TICKET_EXPIRED: 403,
    result_codes.ResultCode.COVERAGE_NOT_MET: 502,
    result_codes.ResultCode.UPSTREAM_FAILED: 502,
    result_codes.ResultCode.OUTCOME_UNKNOWN: 502,
    result_codes.ResultCode.REPLY_INVALID: 502,
    result_codes.ResultCode.INTERNAL_ERROR: 500,
}
_DEFAULT_STATUS = 503

Json = dict[str, typing.Any]


class CallerService(typing.Protocol):
    """The entry service behind the HTTP interface."""

    def search(self, request: messages.SearchRequest) -> messages.SearchAnswer:
        """Run a search.

        :raises CorianderportError: its result code is sent to the caller.
        """

    def issue_ticket(self) -> ticket_table.IssuedTicket:
        """Issue a ticket for one action; raises the same errors."""

    def act(self, request: messages.ActionRequest) -> messages.ActionAnswer:
        """Run an action; raises the same errors."""


class HostState(typing.Protocol):
    """Readiness of the host, as reported to a load balancer."""

    @property
    def ready(self) -> bool:
        """Whether the host accepts new requests."""

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""


class _AlwaysReady:
    ready = True
    stopping = False


class RequestObserver(typing.Protocol):
    """Counts the requests of callers."""

    def finished(
        self, request: str, code: result_codes.ResultCode, latency_s: float
    ) -> None:
        """Record the result and latency of a request."""


@attrs.frozen
class CallerLimits:
    """Limits on callers' requests.

    The default deadline applies up to the deadline that the configuration
    sets for each search and action.
    """

    body_bytes: int = 65_536
    default_deadline_ms: float = _MAX_DEADLINE_MS


class CallerApp:
    """Decodes requests, calls the entry service and encodes its answers."""

    def __init__(
        self,
        service: CallerService,
        clock: clocks.Clock,
        limits: CallerLimits,
        state: HostState = _AlwaysReady(),
        observer: RequestObserver | None = None,
    ) -> None:
        self._service = service
        self._observer = observer
        self._clock = clock
        self._limits = limits
        self._state = state
        rule = werkzeug.routing.Rule
        self._urls = werkzeug.routing.Map(
            [
                rule('/v1/search/<name>', endpoint='search', methods=['POST']),
                rule('/ready', endpoint='ready', methods=['GET']),
                rule('/v1/tickets', endpoint='tickets', methods=['POST']),
                rule('/v1/actions/<name>', endpoint='act', methods=['POST']),
            ]
        )
        self._endpoints: dict[
            str, collections.abc.Callable[[str, Json], Json]
        ] = {
            'ready': self._ready,
            'search': self._search,
            'tickets': self._issue_ticket,
            'act': self._act,
        }

    def __call__(
        self,
        environ: '_typeshed.wsgi.WSGIEnvironment',
        start_response: '_typeshed.wsgi.StartResponse',
    ) -> collections.abc.Iterable[bytes]:
        """Handle an HTTP request."""
        request = werkzeug.wrappers.Request(environ)
        started_s = self._clock.monotonic()
        endpoint = _UNKNOWN_ENDPOINT
        try:
            endpoint, values = self._urls.bind_to_environ(environ).match()
            fields = self._parse_body(request)
            body = self._endpoints[endpoint](values.get('name', ''), fields)
        except werkzeug.exceptions.HTTPException as error:
            body = _error_body(errors.MalformedRequest(str(error)))
        except errors.CorianderportError as error:
            body = _error_body(error)
        except Exception:
            _LOG.exception('request failed')
            body = _error_body(errors.CorianderportError('internal error'))
        if self._observer is not None and endpoint != _PROBE_ENDPOINT:
            self._observer.finished(
                endpoint,
                result_codes.ResultCode(body['code']),
                self._clock.monotonic() - started_s,
            )
        response = werkzeug.wrappers.Response(
            orjson.dumps(body),
            status=_status(body['code']),
            content_type='application/json',
        )
        if body['code'] == result_codes.ResultCode.BODY_TOO_LARGE:
            # The rest of the body is not read, so that the connection
            # cannot carry another request.
            response.headers['Connection'] = 'close'
        if self._state.stopping:
            # Keeps callers from sending requests on open connections while
            # the host exits.
            response.headers['Connection'] = 'close'
        return response(environ, start_response)

    def _parse_body(self, request: werkzeug.wrappers.Request) -> Json:
        length = request.content_length
        if length is None and request.method == 'GET':
            return {}
        if length is None:
            raise errors.MalformedRequest('missing Content-Length')
        if length > self._limits.body_bytes:
            raise errors.BodyTooLarge(
                f'body of {length} bytes exceeds {self._limits.body_bytes}'
            )
        body = request.get_data(cache=False)
        if len(body) != length:
            raise errors.MalformedRequest(
                'body is shorter than Content-Length'
            )
        try:
            fields = orjson.loads(body) if body else {}
        except orjson.JSONDecodeError as error:
            raise errors.MalformedRequest(f'body: {error}') from error
        if not isinstance(fields, dict):
            raise errors.MalformedRequest('body is not a JSON object')
        return fields

    def _ready(self, name: str, fields: Json) -> Json:
        if not self._state.ready:
            raise errors.NotReady('no configuration, or shutting down')
        code = result_codes.ResultCode.OK
        return {'code': int(code), 'name': code.name, 'ready': True}

    def _search(self, name: str, fields: Json) -> Json:
        query = fields.get('query')
        if not isinstance(query, str):
            raise errors.MalformedRequest('query: expected a string')
        limit = options.number(
            'limit', fields.get('limit', _DEFAULT_LIMIT), 1, _MAX_LIMIT
        )
        answer = self._service.search(
            messages.SearchRequest(
                request_id=_request_id(fields),
                search=name,
                query=query,
                limit=int(limit),
                deadline=self._deadline(fields),
                customer=_customer(fields),
            )
        )
        return _search_body(answer)

    def _issue_ticket(self, name: str, fields: Json) -> Json:
        issued = self._service.issue_ticket()
        code = result_codes.ResultCode.OK
        return {
            'code': int(code),
            'name': code.name,
            'ticket': issued.text,
            'expires_in_ms': issued.expires_in_ms,
        }

    def _act(self, name: str, fields: Json) -> Json:
        payload = fields.get('payload')
        if not isinstance(payload, str):
            raise errors.MalformedRequest('payload: expected a string')
        ticket = fields.get('ticket')
        if ticket is not None and not isinstance(ticket, str):
            raise errors.MalformedRequest('ticket: expected a string')
        answer = self._service.act(
            messages.ActionRequest(
                request_id=_request_id(fields),
                action=name,
                payload=payload,
                # A deadline in the past is not rejected here: the ticket
                # may have been used before, and the host that issued it
                # then returns the first outcome.
                deadline=deadlines.Deadline.after(
                    self._clock, self._deadline_ms(fields) / 1e3
                ),
                customer=_customer(fields),
                ticket=ticket,
            )
        )
        return _action_body(answer)

    def _deadline(self, fields: Json) -> deadlines.Deadline:
        milliseconds = self._deadline_ms(fields)
        if milliseconds <= 0:
            raise errors.DeadlinePast('deadline_ms is not positive')
        return deadlines.Deadline.after(self._clock, milliseconds / 1e3)

    def _deadline_ms(self, fields: Json) -> float:
        value = fields.get('deadline_ms', self._limits.default_deadline_ms)
        return options.number(
            'deadline_ms', value, -_MAX_DEADLINE_MS, _MAX_DEADLINE_MS
        )


def _request_id(fields: Json) -> str:
    request_id = fields.get('request_id')
    if request_id is None:
        return uuid.uuid4().hex
    return options.identifier('request_id', request_id)


def _customer(fields: Json) -> str:
    return options.identifier(
        'customer', fields.get('customer', _DEFAULT_CUSTOMER)
    )


def _status(code: int) -> int:
    return _HTTP_STATUS.get(result_codes.ResultCode(code), _DEFAULT_STATUS)


def _error_body(error: errors.CorianderportError) -> Json:
    return {
        'code': int(error.code),
        'name': error.code.name,
        'ran': error.code.ran.value,
        'detail': str(error),
    }


def _action_body(answer: messages.ActionAnswer) -> Json:
    body = {
        'code': int(answer.code),
        'name': answer.code.name,
        'ran': answer.code.ran.value,
        'request_id': answer.request_id,
        'outcome': answer.outcome,
    }
    if answer.detail:
        body['detail'] = answer.detail
    return body


def _search_body(answer: messages.SearchAnswer) -> Json:
    return {
        'code': int(answer.code),
        'name': answer.code.name,
        'ran': answer.code.ran.value,
        'request_id': answer.request_id,
        'snapshot': answer.snapshot,
        'coverage': {
            'fraction': answer.coverage.fraction,
            'missing': list(answer.coverage.missing),
        },
        'whole': answer.whole,
        'hits': [
            {'document': h.document, 'score': h.score, 'title': h.title}
            for h in answer.hits
        ],
    }
