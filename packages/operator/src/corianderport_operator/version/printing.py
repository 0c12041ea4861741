"""corianderport_operator.version.printing

Serialises a configuration to its JSON document and parses it back.
"""

from corianderport_tier.version import configuration
from corianderport_wire.version import document

__all__ = ['canonical', 'parse', 'printed']


def printed(config: configuration.Configuration) -> str:
    """Return the JSON document, sorted, with one line for each entity."""
    return document.DocumentCodec().encode(config).decode()


def parse(text: str) -> configuration.Configuration:
    """Return the configuration in a document without validating it.

    :raises ConfigurationInvalid: the document is not JSON, does not match the
        schema or has two entities of the same kind and name.
    """
    return document.DocumentCodec().parse(text.encode())


def canonical(
    config: configuration.Configuration,
) -> configuration.Configuration:
    """Return the configuration with its entities in document order."""
    return parse(printed(config))
