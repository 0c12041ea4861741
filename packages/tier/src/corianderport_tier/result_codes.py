"""corianderport_tier.result_codes

Numeric result codes of requests.
"""

import enum

__all__ = ['Ran', 'ResultCode']


class Ran(enum.Enum):
    """Whether an upstream acted on the request."""

    YES = 'yes'
    NO = 'no'
    UNKNOWN = 'unknown'


class ResultCode(enum.IntEnum):
    """Result of a request; see the table in docs/result-codes.md.

    The hundreds digit is the category: 0 answered, 1 refused before it
    ran, 2 ran and failed, 3 outcome unknown, 4 configuration, 5 internal.
    """

    OK = 0
    PARTIAL = 1
    MALFORMED_REQUEST = 100
    UNKNOWN_SERVICE = 101
    BODY_TOO_LARGE = 102
    DEADLINE_PAST = 103
    NOT_READY = 104
    OVERLOADED = 105
    QUOTA_EXCEEDED = 106
    NO_UPSTREAM = 107
    TICKET_INVALID = 108
    TICKET_EXPIRED = 109
    UPSTREAM_REFUSED = 110
    NOT_OWNER = 111
    UNAUTHENTICATED = 112
    NOT_RELAYED = 113
    UPSTREAM_FAILED = 200
    COVERAGE_NOT_MET = 201
    OUTCOME_UNKNOWN = 300
    REPLY_INVALID = 301
    CONFIGURATION_INVALID = 400
    CONFIGURATION_STALE = 401
    SETTING_INVALID = 402
    INTERNAL_ERROR = 500

    @property
    def ran(self) -> Ran:
        """Whether an upstream acted on a request with this code."""
        if 300 <= self < 400 or self is ResultCode.INTERNAL_ERROR:
            return Ran.UNKNOWN
        if 100 <= self < 200 or 400 <= self < 500:
            return Ran.NO
        return Ran.YES
