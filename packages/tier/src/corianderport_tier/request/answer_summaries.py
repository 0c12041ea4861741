"""corianderport_tier.request.answer_summaries

Result codes and log descriptions of answers to forwarded requests.
"""

from corianderport_tier.request import forward_messages
from corianderport_tier import result_codes

__all__ = ['describe', 'result_code']

Code = result_codes.ResultCode
Failure = forward_messages.Failure


def result_code(answer: forward_messages.ForwardAnswer | None) -> Code:
    """Return the result code of an answer; None if the caller left."""
    if answer is None:
        # No caller is left to be told whether the request ran.
        return Code.OUTCOME_UNKNOWN
    if isinstance(answer, Failure):
        return answer.code
    if isinstance(answer, forward_messages.Gathered) and answer.missing:
        return Code.PARTIAL
    return Code.OK


def describe(
    answer: forward_messages.ForwardAnswer | None,
) -> tuple[str, str]:
    """Return the choice and the reason for the decision log."""
    if answer is None:
        return 'none', 'the caller disconnected'
    if isinstance(answer, Failure):
        return answer.code.name, answer.detail
    if isinstance(answer, forward_messages.Relayed):
        return 'relayed', f'status {answer.reply.status}'
    return 'gathered', f'{answer.missing} parts are missing'
