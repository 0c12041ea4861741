"""corianderport_tier.version.routing_findings

Faults of a published routing, each with its location.
"""

import collections.abc

import attrs

__all__ = ['RoutingCheck', 'RoutingFinding']


@attrs.frozen
class RoutingFinding:
    """A fault or a warning; never quotes a key.

    ``place`` is a path in the document, such as ``tenants[3].burst``.
    """

    place: str
    text: str
    is_warning: bool = False


# Checks a document of the platform before it is published.
RoutingCheck = collections.abc.Callable[
    [bytes], collections.abc.Sequence[RoutingFinding]
]
