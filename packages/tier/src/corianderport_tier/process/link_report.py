"""corianderport_tier.process.link_report

What a host shows to operators about the bytes that it exchanges.
"""

import attrs

from corianderport_tier import clocks
from corianderport_tier.process import link_bytes

__all__ = ['HostLinks', 'LinkReporter']


@attrs.frozen
class HostLinks:
    """Bytes and messages of a host in the ``running_s`` since its start."""

    host: str
    data_centre: str
    running_s: float
    links: tuple[link_bytes.LinkTotal, ...]


class LinkReporter:
    """Reports on the counters of a host; created at its start."""

    def __init__(
        self, own_name: str, links: link_bytes.LinkBytes, clock: clocks.Clock
    ) -> None:
        self._own_name = own_name
        self._links = links
        self._clock = clock
        self._started_s = clock.monotonic()

    def totals(self) -> tuple[link_bytes.LinkTotal, ...]:
        """Return the totals since the start of the process."""
        return self._links.totals()

    def report(self) -> HostLinks:
        """Return the totals with the time that they cover."""
        return HostLinks(
            self._own_name,
            self._links.data_centre,
            self._clock.monotonic() - self._started_s,
            self.totals(),
        )
