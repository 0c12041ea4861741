"""corianderport_tier.process.rumour_changes

Numbers the changes of rumours, so that a host can ask for the later ones.
"""

__all__ = ['RumourChanges']


class RumourChanges:
    """Hosts in the order in which the rumours about them last changed."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._last = 0

    @property
    def last(self) -> int:
        """Number of the last change, 0 for none."""
        return self._last

    def note(self, name: str) -> None:
        """Note that the rumour about a host has changed."""
        self._last += 1
        # Moved to the end, so that the names stay sorted by their numbers.
        self._numbers.pop(name, None)
        self._numbers[name] = self._last

    def discard(self, name: str) -> None:
        """Forget a host of which no rumour is known any more."""
        self._numbers.pop(name, None)

    def after(self, number: int) -> list[str]:
        """Return the hosts whose rumours changed after a change."""
        changed = []
        for name, changed_at in reversed(self._numbers.items()):
            if changed_at <= number:
                break
            changed.append(name)
        return changed
