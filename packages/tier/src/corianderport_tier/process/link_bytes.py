"""corianderport_tier.process.link_bytes

Counts the bytes and messages that a host exchanges, by kind and place.
"""

import enum

import attrs

from corianderport_tier.process import thread_counters

__all__ = ['Direction', 'Link', 'LinkBytes', 'LinkKind', 'LinkTotal', 'Place']


class Direction(enum.Enum):
    """Direction of a message, as seen from this host."""

    SENT = 'sent'
    RECEIVED = 'received'


class LinkKind(enum.Enum):
    """What a message belongs to."""

    CALLER = 'caller'
    SEARCHER = 'searcher'
    # Requests to the addresses for probes of readiness and for metrics.
    HEALTH_CHECK = 'health-check'
    HEARTBEAT = 'heartbeat'
    # Changes of the store and configurations, from or to another host.
    REGISTRY_RELAY = 'registry-relay'
    QUOTA = 'quota'
    # Gathers that one host gives to another, and their merged answers.
    GATHER = 'gather'
    # Among others, the authentication of each new connection.
    OTHER_PEER = 'other-peer'
    STORE = 'store'


class Place(enum.Enum):
    """Location of the other end, relative to this host."""

    OWN = 'own'
    OTHER = 'other'
    UNKNOWN = 'unknown'


@attrs.frozen
class LinkTotal:
    """Bytes and messages of one kind since the start of the process."""

    direction: Direction
    kind: LinkKind
    place: Place
    bytes: int
    messages: int


_Counted = tuple[Direction, LinkKind, Place]
_COUNTED: tuple[_Counted, ...] = tuple(
    (direction, kind, place)
    for kind in LinkKind
    for place in Place
    for direction in Direction
)
# A counter is identified by an integer: twice the position in _COUNTED for
# bytes, and one more for messages. Hashing an enum member calls a function
# that is written in Python, which takes longer than the counting.
_KEYS = {counted: 2 * number for number, counted in enumerate(_COUNTED)}


class Link:
    """Counts the messages of one kind to and from one place."""

    def __init__(
        self,
        counters: thread_counters.ThreadCounters[int],
        kind: LinkKind,
        place: Place,
    ) -> None:
        self._counters = counters
        self._sent = _KEYS[Direction.SENT, kind, place]
        self._received = _KEYS[Direction.RECEIVED, kind, place]

    def sent(self, size: int, messages: int = 0) -> None:
        """Count bytes that were sent, and the messages they complete."""
        self._count(self._sent, size, messages)

    def received(self, size: int, messages: int = 0) -> None:
        """Count bytes that were received, and the messages they complete."""
        self._count(self._received, size, messages)

    def _count(self, key: int, size: int, messages: int) -> None:
        counts = self._counters.own()
        counts[key] = counts.get(key, 0) + size
        if messages:
            counts[key + 1] = counts.get(key + 1, 0) + messages


class LinkBytes:
    """The counters of a host.

    Bytes are those of the application protocol, without TCP and IP.

    :param data_centre: data centre of this host, empty if it is unknown.
    """

    def __init__(self, data_centre: str = '') -> None:
        self._data_centre = data_centre
        self._counters = thread_counters.ThreadCounters[int]()
        self._links = {
            (kind, place): Link(self._counters, kind, place)
            for kind in LinkKind
            for place in Place
        }

    @property
    def data_centre(self) -> str:
        """Data centre of this host, empty if it is unknown."""
        return self._data_centre

    def link(self, kind: LinkKind, data_centre: str = '') -> Link:
        """Return the counters for a data centre, empty if it is unknown."""
        return self._links[kind, self._place(data_centre)]

    def totals(self) -> tuple[LinkTotal, ...]:
        """Return the totals that are not zero, in a fixed order."""
        counts = self._counters.totals()
        return tuple(
            LinkTotal(
                *counted,
                int(counts.get(key, 0)),
                int(counts.get(key + 1, 0)),
            )
            for counted, key in _KEYS.items()
            if counts.get(key)
        )

    def _place(self, data_centre: str) -> Place:
        if not data_centre or not self._data_centre:
            return Place.UNKNOWN
        if data_centre == self._data_centre:
            return Place.OWN
        return Place.OTHER
