"""corianderport_tier.process.workspace_shares

Share of each workspace in one service, as one host sees and grants it.

A workspace that demands more than a whole service can do delays all others
that use it. It gets what they leave of a part of the service's slots, and the
rest of its requests is refused at once. Each host decides for its part of the
slots, so that the shares need no messages.
"""

import collections.abc
import math

import attrs

from corianderport_tier.process import cost_estimates

__all__ = ['WorkspaceShares']

# Part of the slots that all workspaces may use together while one of them is
# limited. Requests wait for busy searchers much longer above it.
_USABLE = 0.4
# Demand of one workspace from which on it is limited, as a multiple of all
# slots. No order of service would serve it in full.
_EXCESSIVE_DEMAND = 1.5
# Requests of one workspace at searchers from which on it is limited, as a
# multiple of all slots. Callers that wait for each answer before they send the
# next request demand no more than they get, but fill the searchers' queues.
_EXCESSIVE_QUEUE = 8.0
# Requests of one workspace in flight at a host, beyond those that its demand
# explains, from which on it is limited at once: the least number, and a
# multiple of the host's part of the slots.
_LEAST_PILE = 8
_EXCESSIVE_PILE = 4.0
# A workspace stays limited for this time at least, until its demand is known.
_LEAST_LIMITED_S = 0.5
# A workspace with a demand below this part of its fair share of what all use
# is not the one that causes the contention, however long its requests take.
_FAIR = 0.9
# A workspace is no longer limited when all demand would take up less than
# this part of the slots.
_RELEASED_LOAD = 0.85
# Replies that take longer than usual by this factor on average show contention
# for this time. Without contention, no workspace is limited.
_CONTENDED_RATIO = 1.5
_CONTENDED_S = 5.0
_RATIO_WEIGHT = 0.05
# A single late reply, as of a searcher that pauses, counts for no more.
_MAX_RATIO = 8.0
# A demand is excessive only if it is so less these standard deviations.
_DEVIATIONS = 2.0
# Time constant of demand and use.
_RATE_TIME_S = 1.0
# A limited workspace may use its share of this time at once.
_BURST_S = 0.05
# Least part of the usable slots that a limited workspace gets.
_LEAST_SHARE = 0.05
# Shares depend on all workspaces; they are computed anew after this time.
_SHARE_VALID_S = 0.05
# A workspace without a request for this time does not count.
_UNUSED_S = 10.0


@attrs.define
class _Rate:
    """Recent rate of something, in units a second."""

    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Include an amount."""
        self.value = self.at(now_s) + amount / _RATE_TIME_S
        self.at_s = now_s

    def at(self, now_s: float) -> float:
        """Return the rate."""
        age_s = max(0.0, now_s - self.at_s)
        return self.value * math.exp(-age_s / _RATE_TIME_S)


@attrs.define
class _Use:
    """Use of the service by one workspace, in slots.

    ``cost_s`` is the mean run time of its latest request without overload.

    ``demand`` is that of all requests, ``used`` that of the sent ones without
    overload; ``occupied`` includes their wait. ``level_s`` are the seconds of
    slots that a limited workspace may use now.
    """

    seen_s: float
    cost_s: float = 0.0
    demand: _Rate = attrs.Factory(_Rate)
    used: _Rate = attrs.Factory(_Rate)
    occupied: _Rate = attrs.Factory(_Rate)
    in_flight: int = 0
    limited: bool = False
    limited_s: float = 0.0
    refilled_s: float = 0.0
    level_s: float = 0.0
    share: float = 0.0
    share_until_s: float = -math.inf


class WorkspaceShares:
    """Workspaces of one service; guarded by the lock of the service."""

    def __init__(self) -> None:
        # This host's part of the slots of all searchers.
        self._slots = 0.0
        self._uses: dict[str, _Use] = {}
        self._limited = 0
        self._ratio = 1.0
        self._contended_until_s = -math.inf
        self._pruned_s = -math.inf

    @property
    def size(self) -> int:
        """Number of workspaces that count."""
        return len(self._uses)

    def set_slots(
        self, slots: collections.abc.Iterable[int], hosts: int
    ) -> None:
        """Set the slots of all searchers and the number of hosts."""
        self._slots = sum(slots) / hosts

    def arrive(
        self, workspace: str | None, calm_s: float, now_s: float
    ) -> None:
        """Record a request before its first send.

        :param calm_s: mean run time of such requests without overload.
        """
        if workspace is None:
            return
        if now_s - self._pruned_s >= _UNUSED_S:
            self._prune(now_s)
        use = self._uses.get(workspace)
        if use is None:
            use = self._uses[workspace] = _Use(now_s)
        use.seen_s = now_s
        use.cost_s = calm_s
        use.demand.add(calm_s, now_s)

    def permits(self, workspace: str | None, now_s: float) -> bool:
        """Whether a request of a workspace may be sent now."""
        use = self._uses.get(workspace) if workspace is not None else None
        if use is None or not self._slots:
            return True
        limited = self._is_limited(use, now_s)
        if limited != use.limited:
            self._limited += 1 if limited else -1
            use.limited, use.limited_s = limited, now_s
            use.level_s, use.refilled_s = 0.0, now_s
        if not limited:
            return True
        self._refill(use, now_s)
        return use.level_s > 0

    def start(
        self, workspace: str | None, calm_s: float, now_s: float
    ) -> None:
        """Record the start of a send."""
        use = self._uses.get(workspace) if workspace is not None else None
        if use is not None:
            use.in_flight += 1
            use.used.add(calm_s, now_s)
            use.level_s -= calm_s

    def finish(
        self,
        workspace: str | None,
        request_class: cost_estimates.RequestClass,
        elapsed_s: float | None,
        now_s: float,
    ) -> None:
        """Record the end of a send of any request.

        :param elapsed_s: None if the send is no measure of the latency.
        """
        if not self._uses:
            # No workspace uses the service.
            return
        use = self._uses.get(workspace) if workspace is not None else None
        if use is not None:
            use.in_flight -= 1
        if elapsed_s is None:
            return
        if use is not None:
            use.occupied.add(elapsed_s, now_s)
        ratio = min(_MAX_RATIO, elapsed_s / max(1e-6, request_class.calm_s))
        self._ratio += _RATIO_WEIGHT * (ratio - self._ratio)
        if self._ratio > _CONTENDED_RATIO:
            self._contended_until_s = now_s + _CONTENDED_S
        if not self._limited:
            contended = now_s < self._contended_until_s
            request_class.record_calm(elapsed_s, now_s, contended)

    def note_full(self, now_s: float) -> None:
        """Record that no searcher had capacity for a request."""
        self._contended_until_s = now_s + _CONTENDED_S

    def _is_limited(self, use: _Use, now_s: float) -> bool:
        demand = use.demand.at(now_s)
        most = max(_LEAST_PILE, _EXCESSIVE_PILE * self._slots)
        piled = use.in_flight > most + demand
        # The measured demand of few requests is too high at times.
        least_demand = demand - _DEVIATIONS * math.sqrt(
            demand * use.cost_s / (2 * _RATE_TIME_S)
        )
        excessive = now_s < self._contended_until_s and (
            least_demand > _EXCESSIVE_DEMAND * self._slots
            or use.occupied.at(now_s) > _EXCESSIVE_QUEUE * self._slots
        )
        # Most requests end here, before all workspaces are looked at.
        if not (use.limited or piled or excessive):
            return False
        others = [
            other
            for other in self._uses.values()
            if other is not use and now_s - other.seen_s < _UNUSED_S
        ]
        if not others:
            return False
        if use.limited:
            # The same load would cause contention again.
            load = least_demand + sum(o.used.at(now_s) for o in others)
            return (
                now_s < use.limited_s + _LEAST_LIMITED_S
                or load > _RELEASED_LOAD * self._slots
            )
        return piled or demand > _FAIR * self._fair_share(
            use, self._used(now_s), now_s
        )

    def _used(self, now_s: float) -> float:
        return sum(use.used.at(now_s) for use in self._uses.values())

    def _refill(self, use: _Use, now_s: float) -> None:
        if now_s >= use.share_until_s:
            usable = _USABLE * self._slots
            share = self._fair_share(use, usable, now_s)
            use.share = max(share, _LEAST_SHARE * usable)
            use.share_until_s = now_s + _SHARE_VALID_S
        gained_s = use.share * max(0.0, now_s - use.refilled_s)
        use.level_s = min(_BURST_S * use.share, use.level_s + gained_s)
        use.refilled_s = now_s

    def _fair_share(self, use: _Use, usable: float, now_s: float) -> float:
        """Return which part of the usable slots a workspace may use.

        It is the greatest part that leaves each other workspace what it
        uses, or an equal part.
        """
        others = sorted(
            other.used.at(now_s)
            for other in self._uses.values()
            if other is not use
        )
        left = usable
        count = len(others) + 1
        for used in others:
            if used * count >= left:
                break
            left -= used
            count -= 1
        return left / count

    def _prune(self, now_s: float) -> None:
        self._pruned_s = now_s
        self._uses = {
            name: use
            for name, use in self._uses.items()
            if use.in_flight > 0 or now_s - use.seen_s < _UNUSED_S
        }
        self._limited = sum(use.limited for use in self._uses.values())
