"""corianderport_tier.process.pause_detector

Detects that this process was paused, by the time between periodic steps.
"""

from corianderport_tier import clocks

__all__ = ['PauseDetector']


class PauseDetector:
    """Notes pauses of the process; the caller synchronizes access.

    What a host has heard before a pause may be out of date, so it must not
    judge others until another host has replied.

    :param pause_s: a longer interval between two steps is a pause.
    """

    def __init__(self, clock: clocks.Clock, pause_s: float) -> None:
        self._clock = clock
        self._pause_s = pause_s
        self._last_step_s = clock.monotonic()
        self._awaiting_reply = False
        self._resumed_s = 0.0

    @property
    def awaiting_reply(self) -> bool:
        """Whether the process was paused and has had no reply since."""
        now_s = self._clock.monotonic()
        if now_s - self._last_step_s > self._pause_s:
            self._last_step_s = now_s
            self._resumed_s = now_s
            self._awaiting_reply = True
        return self._awaiting_reply

    def on_step(self) -> bool:
        """Note a periodic step; return whether a reply is awaited."""
        awaiting_reply = self.awaiting_reply
        self._last_step_s = self._clock.monotonic()
        return awaiting_reply

    def on_reply(self, sent_s: float) -> None:
        """Note the reply to a message that was sent at ``sent_s``.

        A reply to a message from before the end of a pause is ignored.
        """
        if self.awaiting_reply and sent_s >= self._resumed_s:
            self._awaiting_reply = False
