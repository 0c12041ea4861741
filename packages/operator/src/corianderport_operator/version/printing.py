"""corianderport_operator.version.printing

Prints a configuration as its document and reads it back.
"""

from corianderport_tier.version import configuration
from corianderport_wire.version import document

__all__ = ['ordered', 'printed', 'read']


def printed(described: configuration.Configuration) -> str:
    """Return the document: one line for each entity, sorted."""
    return document.DocumentCodec().encode(described).decode()


def read(text: str) -> configuration.Configuration:
    """Return the configuration in a document, valid or not.

    :raises ConfigurationInvalid: the document has another shape.
    """
    return document.DocumentCodec().parse(text.encode())


def ordered(
    described: configuration.Configuration,
) -> configuration.Configuration:
    """Return the configuration with its entities in the printed order."""
    return read(printed(described))
