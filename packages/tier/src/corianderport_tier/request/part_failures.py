"""corianderport_tier.request.part_failures

Describes why a part of a request has failed.
"""

import collections.abc

from corianderport_tier.request import forward_messages
from corianderport_tier import result_codes

__all__ = ['describe']

Code = result_codes.ResultCode
# Codes of a part that no searcher ran; any other one becomes NO_UPSTREAM.
_NOT_RUN_CODES = frozenset(
    {
        Code.NOT_READY,
        Code.OVERLOADED,
        Code.UNAUTHENTICATED,
        Code.UPSTREAM_REFUSED,
    }
)


def describe(
    code: Code,
    reason: str,
    may_have_run: bool,
    retry_delay_s: collections.abc.Callable[[], float],
) -> forward_messages.Failure:
    """Return the failure of a part.

    :param code: code of the last error.
    :param may_have_run: whether any send of the request may have run.
    :param retry_delay_s: returns the seconds after which a refused caller
        should return.
    """
    if may_have_run:
        if code.ran is result_codes.Ran.NO:
            # Another send of the request may have run.
            code = Code.OUTCOME_UNKNOWN
        return forward_messages.Failure(code, reason)
    # The request did not run, whatever the last error was.
    if code not in _NOT_RUN_CODES:
        code = Code.NO_UPSTREAM
    return forward_messages.Failure(
        code,
        reason,
        None if code is Code.UNAUTHENTICATED else retry_delay_s(),
    )
