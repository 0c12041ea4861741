"""corianderport_tier.request.send_results

What the end of a send says about its searcher.
"""

from corianderport_tier import errors
from corianderport_tier.process import searcher_state
from corianderport_tier.request import forward_messages
from corianderport_tier.request import forward_send

__all__ = ['send_result', 'succeeded']

SendResult = searcher_state.SendResult


def send_result(
    send: forward_send.SendAttempt, reply: object, median_s: float
) -> SendResult:
    """Return the result of a send for the searcher's record.

    :param reply: the reply, or the error with which the send ended.
    :param median_s: usual latency of the request in seconds.
    """
    elapsed_s = send.elapsed_s
    if isinstance(reply, forward_messages.SearcherReply):
        return _result_of_reply(reply, elapsed_s, median_s)
    if isinstance(reply, errors.ConnectFailed):
        return SendResult(failed=True, unreachable=True)
    if isinstance(reply, errors.ConnectionStale | errors.Refusal):
        return SendResult(failed=False)
    return SendResult(
        failed=not send.cancelled, elapsed_s=elapsed_s, median_s=median_s
    )


def succeeded(reply: object) -> bool:
    """Whether a send ended with a reply that is an answer."""
    return isinstance(reply, forward_messages.SearcherReply) and (
        reply.succeeded
    )


def _result_of_reply(
    reply: forward_messages.SearcherReply, elapsed_s: float, median_s: float
) -> SendResult:
    if reply.pause_s > 0:
        # A searcher that asks for a pause is not failing.
        return SendResult(
            failed=False, leaving=reply.leaving, pause_s=reply.pause_s
        )
    if reply.ran:
        return SendResult(
            failed=not reply.succeeded,
            answered=reply.succeeded,
            elapsed_s=elapsed_s,
            median_s=median_s,
            leaving=reply.leaving,
        )
    return SendResult(
        failed=reply.other_searcher,
        unreachable=reply.other_searcher,
        full=True,
        leaving=reply.leaving,
    )
