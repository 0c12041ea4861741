"""corianderport_operator.process.where_command

The command that asks a running host where a request would go.
"""

import sys
import typing
import urllib.parse

import orjson

from corianderport_operator.process import output
from corianderport_operator.process import sources
from corianderport_tier import errors
from corianderport_wire.connection import curl_client
from corianderport_wire.request import explain_codec

__all__ = ['where']

_CONNECT_TIMEOUT_S = 2.0
_REQUEST_TIMEOUT_S = 5.0
_EXIT_PROBLEM = 1
_OK = 200
# Sent to the host as a header instead of in the query, so that no log of
# requests can hold the key.
_KEY_HEADER = 'authorization'

Fields = dict[str, typing.Any]


def where(
    method: str,
    url: str,
    host: str = '127.0.0.1:9464',
    header: str = '',
    json: bool = False,
) -> None:
    """Show where a running host would send a request now, and why.

    Nothing is sent to a searcher, and nothing changes at the host. Exit
    codes: 0 each service has a candidate; 1 the request would be refused or a
    service has none; 2 usage error.

    Example: corianderport explain where GET http://a.example/find/x
    --host 10.1.0.1:9464 --header content-length:5000

    Args:
        method: method of the request.
        url: URL of the request, with the name of its host.
        host: metrics address of the host.
        header: header of the request, NAME:VALUE; may be repeated. With
            'Authorization: Bearer KEY', the check of the key and the quota
            are shown too; no token is spent, and the key is not shown.
        json: print JSON instead of tables.
    """
    parts = urllib.parse.urlsplit(url)
    if not parts.netloc:
        raise errors.SettingInvalid(
            f'url: {url!r} has no host name, such as http://a.example/find/x'
        )
    target = parts.path or '/'
    if parts.query:
        target += f'?{parts.query}'
    query = [('method', method), ('host', parts.netloc), ('path', target)]
    keys = []
    for line in filter(None, header.splitlines()):
        if line.partition(':')[0].strip().lower() == _KEY_HEADER:
            keys.append(line)
        else:
            query.append(('header', line))
    fields = _read(sources.parse_address('host', host), query, keys)
    if json:
        output.print_json(fields)
    else:
        _print(fields)
    if fields['refusal'] or not all(s['chosen'] for s in fields['services']):
        sys.exit(_EXIT_PROBLEM)


def _read(
    address: str, query: list[tuple[str, str]], keys: list[str]
) -> Fields:
    client = curl_client.CurlClient(address, _CONNECT_TIMEOUT_S)
    try:
        reply = client.get(
            f'{explain_codec.PATH}?{urllib.parse.urlencode(query)}',
            _REQUEST_TIMEOUT_S,
            keys,
        )
    finally:
        client.close()
    try:
        fields: Fields = orjson.loads(reply.body)
    except orjson.JSONDecodeError as error:
        raise errors.ConnectionBroken(
            f'{address} gave no explanation (status {reply.status})'
        ) from error
    if reply.status != _OK:
        raise errors.SettingInvalid(str(fields.get('error', reply.status)))
    return fields


def _print(fields: Fields) -> None:
    print(f'version {fields["version"]}, {_store_age(fields)}')
    route = fields['route']
    if route is not None:
        kind = 'gather' if route['gather'] else 'single'
        print(
            f'route {route["name"]}: {route["host"]}{route["prefix"]}, '
            f'{kind}, priority {route["priority"]}, expected cost '
            f'{fields["expected_s"] * 1e3:.1f} ms'
        )
    if fields.get('key') is not None:
        _print_key(fields['key'])
    print(f'refused: {fields["refusal"]}' if fields['refusal'] else 'admitted')
    if fields['services']:
        output.print_table(
            (
                'service', 'share', 'policy', 'extra sends', 'searcher',
                'data centre', 'state', 'in flight', 'work ms', 'latency',
                'cost', 'last reply s',
            ),
            [row for s in fields['services'] for row in _rows(s)],
        )  # fmt: skip


def _store_age(fields: Fields) -> str:
    # Hosts of earlier versions state no age.
    age_s = fields.get('store_age_s')
    if age_s is None:
        return 'age of the knowledge of the store unknown'
    return f'knowledge of the store {age_s:.1f} s old'


def _print_key(key: Fields) -> None:
    if not key['needed']:
        print('key: not needed')
    elif key['refusal']:
        print(f'key: refused, {key["refusal"]}')
    elif not key['workspace']:
        print('key: the route is served without one')
    else:
        print(
            f'key: accepted, workspace {key["workspace"]}, '
            f'priority {key["priority"]}'
        )
        print(f'quota: {_quota(key["quota"])}')


def _quota(quota: Fields | None) -> str:
    if quota is None:
        return 'none'
    limit = f'{quota["rate_per_s"]:g} a second, burst {quota["burst"]:g}'
    if quota['refusal']:
        return f'{limit}; refused, {quota["refusal"]}'
    if quota['tokens']:
        return f'{limit}; admitted, the host holds {quota["tokens"]} tokens'
    return f'{limit}; the host holds no token and would ask the owners'


def _rows(service: Fields) -> list[tuple[object, ...]]:
    head = (
        service['service'],
        f'{service["share"]:.0%}',
        service['policy'] or 'unknown',
        'permitted' if service['extra_permitted'] else 'budget is spent',
    )
    if not service['searchers']:
        return [(*head, 'none registered', *[''] * 7)]
    return [
        (
            *head,
            rating['searcher'],
            rating['data_centre'],
            _state(service, rating),
            rating['in_flight'],
            f'{rating["outstanding_s"] * 1e3:.1f}',
            f'{rating["relative_latency"]:.2f}',
            f'{rating["cost"]:.4g}',
            ''
            if rating['reply_age_s'] is None
            else f'{rating["reply_age_s"]:.1f}',
        )
        for rating in service['searchers']
    ]


def _state(service: Fields, rating: Fields) -> str:
    if rating['excluded']:
        return f'excluded: {rating["excluded"]}'
    return 'chosen' if rating['searcher'] == service['chosen'] else 'candidate'
