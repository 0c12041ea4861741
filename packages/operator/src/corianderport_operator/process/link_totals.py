"""corianderport_operator.process.link_totals

Adds up the bytes that hosts exchange.
"""

import collections.abc

import attrs

from corianderport_operator.connection import links_client
from corianderport_tier.process import link_bytes

__all__ = ['FleetLinks', 'HostLink', 'HostSummary', 'LinkSum']

_Label = tuple[link_bytes.LinkKind, link_bytes.Place, link_bytes.Direction]


@attrs.frozen
class HostSummary:
    """A host; ``problem`` is empty if it answered.

    The other fields are empty otherwise.
    """

    address: str
    problem: str
    host: str = ''
    data_centre: str = ''
    running_s: float = 0.0


@attrs.frozen
class HostLink:
    """Bytes and messages at one host; the rate is that since its start."""

    address: str
    bytes: int
    messages: int
    bytes_per_s: float


@attrs.frozen
class LinkSum:
    """Bytes and messages of one kind, the sum over all hosts and each."""

    kind: link_bytes.LinkKind
    place: link_bytes.Place
    direction: link_bytes.Direction
    bytes: int
    messages: int
    bytes_per_s: float
    hosts: tuple[HostLink, ...]


@attrs.frozen
class FleetLinks:
    """What all given hosts exchange; partial if one did not answer.

    The sums of those that use most of the links come first.
    """

    partial: bool
    hosts: tuple[HostSummary, ...]
    links: tuple[LinkSum, ...]

    @classmethod
    def from_replies(
        cls, replies: collections.abc.Sequence[links_client.HostReply]
    ) -> 'FleetLinks':
        """Add up the replies of hosts."""
        found: dict[_Label, list[HostLink]] = {}
        for reply in replies:
            if reply.report is None:
                continue
            for total in reply.report.links:
                label = (total.kind, total.place, total.direction)
                found.setdefault(label, []).append(
                    HostLink(
                        reply.address,
                        total.bytes,
                        total.messages,
                        _per_s(total.bytes, reply.report.running_s),
                    )
                )
        links = [_sum(label, hosts) for label, hosts in found.items()]
        links.sort(key=lambda link: link.bytes_per_s, reverse=True)
        return cls(
            any(reply.report is None for reply in replies),
            tuple(map(_summary, replies)),
            tuple(links),
        )


def _per_s(count: int, seconds: float) -> float:
    return count / seconds if seconds > 0 else 0.0


def _summary(reply: links_client.HostReply) -> HostSummary:
    report = reply.report
    if report is None:
        return HostSummary(reply.address, reply.problem)
    return HostSummary(
        reply.address,
        reply.problem,
        report.host,
        report.data_centre,
        report.running_s,
    )


def _sum(label: _Label, hosts: collections.abc.Sequence[HostLink]) -> LinkSum:
    return LinkSum(
        *label,
        sum(host.bytes for host in hosts),
        sum(host.messages for host in hosts),
        sum(host.bytes_per_s for host in hosts),
        tuple(hosts),
    )
