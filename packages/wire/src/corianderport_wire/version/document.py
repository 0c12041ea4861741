"""corianderport_wire.version.document

Decodes and encodes the JSON document of a configuration.
"""

import collections.abc
import json
import typing

import attrs
import cattrs
import cattrs.preconf.json

from corianderport_tier import errors
from corianderport_tier.version import checks
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

__all__ = ['DocumentCodec']

Json = dict[str, typing.Any]

_CONVERTER = cattrs.preconf.json.make_converter(forbid_extra_keys=True)
# A float field that was read as an integer is written as a float, so that
# equal configurations are encoded alike.
_CONVERTER.register_unstructure_hook(float, float)


@attrs.frozen
class _Index:
    """An index and its snapshots, newest first."""

    name: str
    snapshots: tuple[snapshots.Snapshot, ...]


@attrs.frozen
class _Document:
    """Schema of the document: a list of named items for each kind."""

    version: int
    data_centres: tuple[configuration.DataCentre, ...]
    services: tuple[configuration.Service, ...]
    indexes: tuple[_Index, ...]
    searches: tuple[configuration.Search, ...]
    actions: tuple[configuration.Action, ...] = ()
    customers: tuple[configuration.Customer, ...] = ()


T = typing.TypeVar('T')


def _by_name(kind: str, items: tuple[T, ...]) -> dict[str, T]:
    named: dict[str, T] = {}
    for item in items:
        name: str = getattr(item, 'name')
        if name in named:
            raise errors.ConfigurationInvalid(
                f'{kind} {name!r} is defined twice'
            )
        named[name] = item
    return named


class DocumentCodec:
    """Decodes and encodes the published document."""

    def decode(self, document: bytes) -> configuration.Configuration:
        """Decode and validate a configuration.

        :raises ConfigurationInvalid: lists the faults and where they are.
        """
        parsed = self.parse(document)
        checks.require_valid(parsed)
        return parsed

    def parse(self, document: bytes) -> configuration.Configuration:
        """Decode a configuration without validating it.

        :raises ConfigurationInvalid: the document does not match the schema.
        """
        try:
            parsed = _CONVERTER.structure(json.loads(document), _Document)
        except (cattrs.BaseValidationError, TypeError) as error:
            faults = '; '.join(cattrs.transform_error(error))
            raise errors.ConfigurationInvalid(faults) from error
        except (ValueError, RecursionError) as error:
            raise errors.ConfigurationInvalid(str(error)) from error
        return configuration.Configuration(
            version=parsed.version,
            data_centres=_by_name('data centre', parsed.data_centres),
            services=_by_name('service', parsed.services),
            indexes={
                name: index.snapshots
                for name, index in _by_name('index', parsed.indexes).items()
            },
            searches=_by_name('search', parsed.searches),
            actions=_by_name('action', parsed.actions),
            customers=_by_name('customer', parsed.customers),
        )

    def encode(self, accepted: configuration.Configuration) -> bytes:
        """Encode a configuration.

        Each object is written on its own line, in a stable order, so that a
        line-based diff of two versions shows what has changed.
        """
        document = _Document(
            version=accepted.version,
            data_centres=_sorted(accepted.data_centres),
            services=tuple(map(_service, _sorted(accepted.services))),
            indexes=tuple(
                _Index(name, tuple(map(_snapshot, _newest_first(published))))
                for name, published in sorted(accepted.indexes.items())
            ),
            searches=tuple(map(_search, _sorted(accepted.searches))),
            actions=_sorted(accepted.actions),
            customers=_sorted(accepted.customers),
        )
        fields = _CONVERTER.unstructure(document)
        return _format_object(fields, 0).encode() + b'\n'


def _sorted(items: typing.Mapping[str, T]) -> tuple[T, ...]:
    return tuple(items[name] for name in sorted(items))


def _service(service: configuration.Service) -> configuration.Service:
    searchers = sorted(service.searchers, key=lambda s: (s.name, s.address))
    return attrs.evolve(service, searchers=tuple(searchers))


def _search(search: configuration.Search) -> configuration.Search:
    return attrs.evolve(search, services=tuple(sorted(search.services)))


def _newest_first(
    published: collections.abc.Iterable[snapshots.Snapshot],
) -> list[snapshots.Snapshot]:
    return sorted(published, key=lambda s: -s.number)


def _snapshot(snapshot: snapshots.Snapshot) -> snapshots.Snapshot:
    shards = sorted(snapshot.shards, key=lambda s: (s.begin, s.end, s.name))
    return attrs.evolve(snapshot, shards=tuple(shards))


def _format_object(fields: Json, depth: int) -> str:
    """Format a JSON object, with one line for each item of object lists."""
    indent = ' ' * (depth + 1)
    parts = []
    for name, value in fields.items():
        is_object_list = (
            isinstance(value, list) and value and _is_object(value[0])
        )
        if is_object_list:
            items = ',\n'.join(
                indent + _format_object(item, depth + 1) for item in value
            )
            text = f'[\n{items}\n{" " * depth}]'
        else:
            text = json.dumps(value)
        parts.append(f'{json.dumps(name)}: {text}')
    separator = ', ' if depth else ',\n'
    opening, closing = ('{', '}') if depth else ('{\n', '\n}')
    return f'{opening}{separator.join(parts)}{closing}'


def _is_object(value: object) -> bool:
    return isinstance(value, dict)
