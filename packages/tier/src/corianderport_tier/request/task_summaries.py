"""corianderport_tier.request.task_summaries

What the decision log records about the parts of a request.
"""

import collections
import collections.abc

from corianderport_tier.request import authorization as authorization_module
from corianderport_tier.request import part as part_module
from corianderport_tier.version import routes

__all__ = ['describe', 'send_s_per_part']

PartState = part_module.PartState


def describe(
    parts: collections.abc.Sequence[part_module.Part],
    route: routes.Route,
    authorization: authorization_module.Authorization,
    received_s: float,
) -> dict[str, object]:
    """Return the fields of the decision line of an answer."""
    reasons = collections.Counter(
        'waiting' if p.failure is None else p.failure.detail
        for p in parts
        if p.state is not PartState.ANSWERED
    )
    summary: dict[str, object] = {
        'route': route.name,
        'parts': len(parts),
        'not_answered': dict(reasons),
        'sent_ms': _spread_ms((p.sent_s for p in parts), received_s),
        'arrived_ms': _spread_ms((p.answered_s for p in parts), received_s),
        'connection_wait_ms': _spread_ms(
            (p.connection_wait_s for p in parts), 0.0
        ),
        'reply_bytes': sum(p.reply_bytes for p in parts),
    }
    if authorization.workspace_name is not None:
        summary['workspace'] = authorization.workspace_name
        summary['rank'] = authorization.rank(route)
    return summary


def send_s_per_part(
    parts: collections.abc.Sequence[part_module.Part],
) -> float | None:
    """Return the seconds between two sends; None if there are too few.

    The first half of the sends counts, which leaves out those that waited for
    a new connection.
    """
    sent_s = sorted(p.sent_s for p in parts)
    middle = len(sent_s) // 2
    if middle == 0 or sent_s[middle] == float('inf'):
        return None
    return (sent_s[middle] - sent_s[0]) / middle


def _spread_ms(
    times_s: collections.abc.Iterable[float], since_s: float
) -> list[float]:
    """Return the least, the median and the greatest of some times.

    In milliseconds after ``since_s``; empty without times.
    """
    ordered = sorted(t for t in times_s if t != float('inf'))
    chosen = ordered and (
        ordered[0],
        ordered[len(ordered) // 2],
        ordered[-1],
    )
    return [round((t - since_s) * 1e3, 1) for t in chosen]
