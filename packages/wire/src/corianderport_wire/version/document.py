"""corianderport_wire.version.document

The JSON document of a configuration, both ways.
"""

import json
import typing

import attrs
import cattrs
import cattrs.preconf.json

from corianderport_tier import errors
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots

__all__ = ['JsonDocument']

_CONVERTER = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


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


class JsonDocument:
    """Decodes and encodes the published document."""

    def decode(self, document: bytes) -> configuration.Configuration:
        """Return the configuration in a document.

        :raises ConfigurationInvalid: names the place of the fault.
        """
        try:
            parsed = _CONVERTER.structure(json.loads(document), _Document)
        except (cattrs.BaseValidationError, TypeError) as error:
            faults = '; '.join(cattrs.transform_error(error))
            raise errors.ConfigurationInvalid(faults) from error
        except ValueError as error:
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
        """Return the document of a configuration, in a stable order."""
        document = _Document(
            version=accepted.version,
            data_centres=_sorted(accepted.data_centres),
            services=_sorted(accepted.services),
            indexes=tuple(
                _Index(name, accepted.indexes[name])
                for name in sorted(accepted.indexes)
            ),
            searches=_sorted(accepted.searches),
            actions=_sorted(accepted.actions),
            customers=_sorted(accepted.customers),
        )
        fields = _CONVERTER.unstructure(document)
        return json.dumps(fields, indent=1).encode() + b'\n'


def _sorted(items: typing.Mapping[str, T]) -> tuple[T, ...]:
    return tuple(items[name] for name in sorted(items))
