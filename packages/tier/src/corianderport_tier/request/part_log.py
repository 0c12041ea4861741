"""corianderport_tier.request.part_log

Decision log of one part of a request.
"""

from corianderport_tier.process import decision_log
from corianderport_tier.process import searcher_state
from corianderport_tier.request import forward_send
from corianderport_tier.request import send_history

__all__ = ['PartLog']

_SEND_KINDS = {False: 'retry', True: 'hedge'}
# Counted besides the line of the failed send, which has the reason.
_REPLY_INVALID = decision_log.Decision('reply-invalid', '', '', '')
# First sends are only counted; the decision line of the answer implies them.
_FIRST_SEND = decision_log.Decision('route', '', '', 'first send')


class PartLog:
    """Records the decisions about one part."""

    def __init__(
        self,
        log: decision_log.DecisionLog,
        request_id: str,
        service: str,
        history: send_history.SendHistory,
    ) -> None:
        self._log = log
        self._request_id = request_id
        self._service = service
        self._history = history

    def first_send(self) -> None:
        """Count the first send."""
        self._log.count(_FIRST_SEND)

    def reply_invalid(self) -> None:
        """Count a malformed reply; the line of the send has the reason."""
        self._log.count(_REPLY_INVALID)

    def another_send(self, searcher: str, hedge: bool) -> None:
        """Record a send after the first one."""
        self.record(_SEND_KINDS[hedge], searcher, 'another searcher')

    def statements(
        self, send: forward_send.SendAttempt, result: searcher_state.SendResult
    ) -> None:
        """Record what a searcher states about accepting more requests."""
        if result.leaving and not send.choice.state.availability.leaving:
            self.record(
                'leaving', send.searcher, 'the searcher said that it leaves'
            )
        if result.pause_s > 0:
            self.record(
                'paused',
                send.searcher,
                f'the searcher wants no request for {result.pause_s:g} s',
            )

    def record(self, kind: str, choice: str, reason: str) -> None:
        """Record a decision."""
        self._log.record(
            decision_log.Decision(
                kind=kind,
                request_id=self._request_id,
                choice=choice,
                reason=reason,
                inputs={
                    'service': self._service,
                    'tried': len(self._history.tried),
                    'ran': self._history.ran,
                },
            )
        )
