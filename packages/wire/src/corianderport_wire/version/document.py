"""corianderport_wire.version.document

The JSON document of a configuration, both ways.
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
# A whole number that is typed as a float is printed in one way only.
_CONVERTER.register_unstructure_hook(float, float)


@attrs.frozen
class _Index:
    """An index and its snapshots, newest first."""

    name: str
    snapshots: tuple[snapshots.Snapshot, ...]


@attrs.frozen
class _Document:
    """The document's own shape: lists of named items."""

    version: int
    data_centres: tuple[configuration.DataCentre, ...]
    services: tuple[configuration.Service, ...]
    indexes: tuple[_Index, ...]
    searches: tuple[configuration.Search, ...]
    actions: tuple[configuration.Action, ...] = ()
    customers: tuple[configuration.Customer, ...] = ()


T = typing.TypeVar('T')


def _named(kind: str, items: tuple[T, ...]) -> dict[str, T]:
    named: dict[str, T] = {}
    for item in items:
        name: str = getattr(item, 'name')
        if name in named:
            raise errors.ConfigurationInvalid(f'{kind} {name!r} stands twice')
        named[name] = item
    return named


class DocumentCodec:
    """Decodes and encodes the published document."""

    def decode(self, document: bytes) -> configuration.Configuration:
        """Return the valid configuration in a document.

        :raises ConfigurationInvalid: lists the faults with their places.
        """
        parsed = self.parse(document)
        checks.require_valid(parsed)
        return parsed

    def parse(self, document: bytes) -> configuration.Configuration:
        """Return the configuration in a document, valid or not.

        :raises ConfigurationInvalid: the document has another shape.
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
            data_centres=_named('data centre', parsed.data_centres),
            services=_named('service', parsed.services),
            indexes={
                name: index.snapshots
                for name, index in _named('index', parsed.indexes).items()
            },
            searches=_named('search', parsed.searches),
            actions=_named('action', parsed.actions),
            customers=_named('customer', parsed.customers),
        )

    def encode(self, accepted: configuration.Configuration) -> bytes:
        """Return the document of a configuration.

        Each entity stands on a line of its own, in a stable order, so that
        a line-by-line comparison of two versions shows what changes.
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
        return _layout(fields, 0).encode() + b'\n'


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


def _layout(fields: Json, depth: int) -> str:
    """Return a JSON object; lists of objects take a line for each item."""
    indent = ' ' * (depth + 1)
    parts = []
    for name, value in fields.items():
        entities = isinstance(value, list) and value and _is_entity(value[0])
        if entities:
            items = ',\n'.join(
                indent + _layout(item, depth + 1) for item in value
            )
            text = f'[\n{items}\n{" " * depth}]'
        else:
            text = json.dumps(value)
        parts.append(f'{json.dumps(name)}: {text}')
    separator = ', ' if depth else ',\n'
    opening, closing = ('{', '}') if depth else ('{\n', '\n}')
    return f'{opening}{separator.join(parts)}{closing}'


def _is_entity(value: object) -> bool:
    return isinstance(value, dict)
