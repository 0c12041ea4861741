"""corianderport_wire.request.explain_codec

Requests for the explanation of a placement, and their answers in JSON.
"""

import collections.abc
import urllib.parse

import cattrs.preconf.orjson
import orjson

from corianderport_tier.request import explanation
from corianderport_tier.version import routes
from corianderport_wire.connection import caller_listener

__all__ = ['PATH', 'respond']

PATH = '/explain'
_CONVERTER = cattrs.preconf.orjson.make_converter()
_JSON = ((b'content-type', b'application/json'),)
_OK = 200
_BAD_REQUEST = 400

Explain = collections.abc.Callable[
    [str, str, int, explanation.GivenKey | None], explanation.Explanation
]


def respond(
    target: bytes, given: explanation.GivenKey | None, explain: Explain
) -> caller_listener.HttpResponse:
    """Answer a request for an explanation.

    Its query has ``method``, ``host``, ``path`` and any number of ``header``,
    each of the form ``name:value``. Of the headers, ``content-length`` decides
    on the class of the request. A key is no part of the query, since targets
    of requests are logged in many places.

    :param given: the key of the request for the explanation; None without.
    """
    query = urllib.parse.urlsplit(target.decode('latin-1')).query
    parameters = urllib.parse.parse_qs(query)
    host = parameters.get('host', [''])[0].lower()
    path = parameters.get('path', [''])[0]
    if not host or not path.startswith('/'):
        return _error('host, path: both are needed, such as path=/find/x')
    headers = {}
    for header in parameters.get('header', ()):
        name, _, value = header.partition(':')
        headers[name.strip().lower()] = value.strip()
    length = headers.get('content-length', '0')
    if not length.isdecimal() or not length.isascii():
        return _error('content-length: not a number')
    explained = explain(host, routes.path_of(path), int(length), given)
    fields = {
        'method': parameters.get('method', ['GET'])[0],
        'host': host,
        'path': path,
        **_CONVERTER.unstructure(explained),
    }
    return caller_listener.HttpResponse(_OK, _JSON, orjson.dumps(fields))


def _error(text: str) -> caller_listener.HttpResponse:
    return caller_listener.HttpResponse(
        _BAD_REQUEST, _JSON, orjson.dumps({'error': text})
    )
