"""corianderport_tier.version.workspaces

Workspaces, whose keys authorize callers' requests.
"""

import collections.abc
import math

import attrs

__all__ = ['Workspace', 'Workspaces', 'conflicts']

# Names are sent in headers and written to logs and metrics.
_MAX_NAME_LENGTH = 200


def _check_name(
    instance: object, attribute: 'attrs.Attribute[str]', value: object
) -> None:
    if (
        not isinstance(value, str)
        or not value.isprintable()
        or value != value.strip()
        or not 0 < len(value) <= _MAX_NAME_LENGTH
    ):
        # The value may be a key that was written into the wrong field.
        raise ValueError('a workspace has no valid name')


def _check_rank(
    instance: 'Workspace', attribute: 'attrs.Attribute[int]', value: int
) -> None:
    if value < 0:
        raise ValueError(
            f'workspace {instance.name!r}: {attribute.name} is negative'
        )


def _check_limit(
    instance: 'Workspace', attribute: 'attrs.Attribute[float]', value: float
) -> None:
    if not 0 <= value < math.inf:
        raise ValueError(
            f'workspace {instance.name!r}: {attribute.name} is negative or '
            f'not finite'
        )


@attrs.frozen
class Workspace:
    """A customer whose requests are identified by its keys.

    ``rank`` is the priority, 0 being the highest. ``rate_per_s`` is the
    number of requests per second that all hosts together may run, after a
    burst of ``burst`` requests; 0 means without limit.

    :raises ValueError: the name is missing or a number is negative.
    """

    name: str = attrs.field(validator=_check_name)
    rank: int = attrs.field(validator=_check_rank)
    rate_per_s: float = attrs.field(default=0.0, validator=_check_limit)
    burst: float = attrs.field(default=0.0, validator=_check_limit)


class Workspaces:
    """The workspaces of one version and their keys.

    No method or error discloses a key.
    """

    def __init__(
        self,
        by_key: collections.abc.Mapping[str, Workspace],
    ) -> None:
        self._by_key = dict(by_key)
        self._by_name = {w.name: w for w in self._by_key.values()}

    @classmethod
    def from_keys(
        cls, pairs: collections.abc.Iterable[tuple[str, Workspace]]
    ) -> 'Workspaces':
        """Build the lookup table from keys and their workspaces.

        A workspace without a key cannot be found and is left out.

        :raises ValueError: a key belongs to two workspaces, or two different
            workspaces have the same name.
        """
        pairs = list(pairs)
        for _, conflict in conflicts(pairs):
            raise ValueError(conflict)
        return cls(dict(pairs))

    def __repr__(self) -> str:
        return f'Workspaces({sorted(self._by_name)})'

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Workspaces):
            return NotImplemented
        return self._by_key == other._by_key

    def __hash__(self) -> int:
        return hash(frozenset(self._by_name))

    def __iter__(self) -> collections.abc.Iterator[Workspace]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, key: str) -> Workspace | None:
        """Return the workspace of a key, None if the key is unknown."""
        return self._by_key.get(key)


def conflicts(
    pairs: collections.abc.Iterable[tuple[str, Workspace]],
) -> collections.abc.Iterator[tuple[int, str]]:
    """Yield the number of each pair that conflicts with an earlier one.

    The text says why, without the key.
    """
    by_key: dict[str, Workspace] = {}
    by_name: dict[str, Workspace] = {}
    for number, (key, workspace) in enumerate(pairs):
        name = workspace.name
        if by_name.setdefault(name, workspace) != workspace:
            yield number, f'workspace {name!r} is defined twice'
        previous = by_key.setdefault(key, workspace)
        if previous.name != name:
            yield (
                number,
                f'workspace {name!r} has a key of workspace {previous.name!r}',
            )
