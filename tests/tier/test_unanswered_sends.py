"""Sends that outlive their requests end at their deadline."""

import attrs

from corianderport_tier.process import unanswered_sends


@attrs.define
class _Send:
    overdue: bool = False
    ended: bool = False
    aborted: bool = False

    def abort_if_overdue(self) -> bool:
        self.aborted = self.aborted or self.overdue
        return self.overdue


def test_overdue_send_is_aborted_once() -> None:
    """Guards against a searcher that stays busy after a lost reply.

    Without the abort, the connection would wait for the reply for as long as
    it may be idle.
    """
    sends = unanswered_sends.UnansweredSends()
    send = _Send()
    sends.add(send)
    sends.abort_overdue()
    assert not send.aborted
    send.overdue = True
    sends.abort_overdue()
    assert send.aborted
    assert len(sends) == 0


def test_answered_send_keeps_its_connection() -> None:
    """Guards against closing the connection under the next request."""
    sends = unanswered_sends.UnansweredSends()
    send = _Send(ended=True, overdue=True)
    sends.add(send)
    sends.abort_overdue()
    assert not send.aborted
    assert len(sends) == 0
