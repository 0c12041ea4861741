"""corianderport_tier.version.faults

Numbered faults and warnings of configurations.
"""

import enum

import attrs

__all__ = ['Fault', 'FaultNumber']


class FaultNumber(enum.Enum):
    """Number of a finding; see the table in docs/result-codes.md.

    F numbers are faults: the configuration is refused. W numbers are
    warnings: the configuration is accepted, but operators should check it.
    """

    VERSION = 'F01'
    UNKNOWN_DATA_CENTRE = 'F02'
    UNKNOWN_SERVICE = 'F03'
    UNKNOWN_INDEX = 'F04'
    UNKNOWN_REGION = 'F05'
    NO_SEARCHER = 'F06'
    NO_SHARD = 'F07'
    DUPLICATE_ADDRESS = 'F08'
    DUPLICATE_NAME = 'F09'
    ADDRESS = 'F10'
    LIMITS = 'F11'
    FRACTION = 'F12'
    WORTH = 'F13'
    DEADLINE = 'F14'
    SHARD_RANGE = 'F15'
    SHARD_WITHOUT_WEIGHT = 'F16'
    SNAPSHOT_ORDER = 'F17'
    NO_DATA_CENTRE_IN_SERVICE = 'W01'
    UNUSED_SERVICE = 'W02'
    NOT_IN_EVERY_SNAPSHOT = 'W03'
    OTHER_REGION = 'W04'
    NO_DEFAULT_CUSTOMER = 'W05'
    SHARES_ABOVE_ONE = 'W06'

    @property
    def is_warning(self) -> bool:
        """Whether the finding is a warning and not a fault."""
        return self.value.startswith('W')


@attrs.frozen
class Fault:
    """A finding: its number, its place and a description."""

    number: FaultNumber
    place: str
    text: str

    def __str__(self) -> str:
        return f'{self.number.value} {self.place}: {self.text}'
