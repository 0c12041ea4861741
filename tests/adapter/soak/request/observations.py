"""What callers and searchers observe of the requests of a run."""

import attrs

__all__ = ['Observations', 'Run', 'Sent']


@attrs.frozen
class Run:
    """A request that a searcher has run, and the reply that it has sent.

    ``contents`` are the bodies that a complete reply may have; none for a
    reply that no caller may get.
    """

    request_id: str
    searcher: str
    workspace: str
    begin_s: float
    shows_key: bool
    status: int
    contents: tuple[bytes, ...] | None
    # Whether the end of the connection ends the body.
    is_unframed: bool = False


@attrs.frozen
class Sent:
    """A request that a caller has sent, and how it ended."""

    request_id: str
    host: int
    path: str
    key: str
    begin_s: float
    end_s: float
    timeout_s: float
    # Whether no request was sent on the connection before.
    is_first: bool
    # Status of a complete response; 0 without one.
    status: int
    error: str = ''
    answered_id: str = ''
    # Proofs of the searchers that produced the response.
    stamps: str = ''
    body: bytes = b''

    @property
    def is_refusal(self) -> bool:
        """Whether the host says that the request has not run."""
        return self.status in _REFUSALS and not self.stamps


# The host's own answers to requests that were not sent, or that all
# searchers have refused.
_REFUSALS = frozenset({400, 401, 404, 413, 429, 431, 503})


@attrs.define
class Observations:
    """All observations of a run; lists are appended to by many tasks."""

    sent: list[Sent] = attrs.Factory(list)
    runs: list[Run] = attrs.Factory(list)
