"""corianderport_wire.connection.upstream_client

HTTP client of the searchers.
"""

import orjson

from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier import errors
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_wire.connection import curl_client
from corianderport_wire.process import reply_quota
from corianderport_wire.request import upstream_codec

__all__ = ['HttpUpstreamDialer', 'HttpUpstreamTransport']

_OK = 200
_REFUSED_STATUSES = frozenset({400, 409, 429, 503})


class HttpUpstreamTransport:
    """A persistent connection to a searcher."""

    def __init__(
        self, client: curl_client.CurlClient, clock: clocks.Clock
    ) -> None:
        self._client = client
        self._clock = clock

    def search(
        self, call: messages.UpstreamSearch, timeout_s: float
    ) -> messages.UpstreamSearchReply | messages.UpstreamRefusal:
        """Send ``POST /search``."""
        body = upstream_codec.encode_search(call, self._clock)
        reply = self._client.post('/search', body, timeout_s)
        if reply.status == _OK:
            return upstream_codec.decode_search_reply(reply.body)
        return _refusal(reply)

    def act(
        self,
        call: messages.UpstreamAction,
        timeout_s: float,
        check: transports.SendCheck,
    ) -> messages.UpstreamActionReply | messages.UpstreamRefusal:
        """Send ``POST /act`` at most once, on a new connection."""
        body = upstream_codec.encode_action(call, self._clock)
        reply = self._client.post_once('/act', body, timeout_s, check)
        if reply.status == _OK:
            return upstream_codec.decode_action_reply(reply.body)
        return _refusal(reply)

    def cancel(self, attempt_id: str, timeout_s: float) -> None:
        """Send ``POST /cancel``."""
        body = orjson.dumps({'attempt_id': attempt_id})
        self._client.post('/cancel', body, timeout_s)

    def abort(self) -> None:
        """Abort the call in progress, from another task."""
        self._client.abort()

    def close(self) -> None:
        """Close the connection."""
        self._client.close()


class HttpUpstreamDialer:
    """Creates connections to searchers."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._quota = reply_quota.ReplyQuota(clock)

    def dial(
        self, searcher: configuration.Searcher, timeout_s: float
    ) -> HttpUpstreamTransport:
        """Return a connection that libcurl opens on the first call."""
        # A closed connection may mean that the searcher has restarted,
        # which the host must detect before it sends again.
        client = curl_client.CurlClient(
            searcher.address, timeout_s, reconnect=False, quota=self._quota
        )
        return HttpUpstreamTransport(client, self._clock)


def _refusal(reply: curl_client.HttpReply) -> messages.UpstreamRefusal:
    if reply.status not in _REFUSED_STATUSES:
        raise errors.ConnectionBroken(f'unexpected status {reply.status}')
    return upstream_codec.decode_refusal(reply.body)
