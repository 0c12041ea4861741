"""corianderport_daemon.process.adapters

Interface between an entry host and the platform that it runs on.
"""

import typing

from corianderport_daemon.process import entry_settings
from corianderport_tier import clocks
from corianderport_tier.connection import transports
from corianderport_tier.process import link_bytes
from corianderport_tier.request import explanation
from corianderport_tier.request import forward_messages
from corianderport_tier.version import registrations
from corianderport_wire.connection import caller_listener

__all__ = ['Adapter']


class Adapter(typing.Protocol):
    """Interface to the platform: its names, formats and calls."""

    @property
    def readiness_target(self) -> bytes:
        """Path that the load balancer probes for readiness."""

    @property
    def prefix(self) -> str:
        """Prefix of all registry keys that the host reads."""

    def settings(self) -> entry_settings.EntrySettings:
        """Load the settings.

        :raises SettingInvalid: a setting is missing or invalid.
        """

    def settings_fingerprint(self) -> object:
        """Return a value that changes whenever the settings change."""

    def registry(
        self, address: str, links: link_bytes.LinkBytes
    ) -> transports.Registry:
        """Return a connection to the registry, for use by one task.

        :param links: counts the bytes.
        """

    def decode(self, key: str, content: bytes) -> registrations.Published:
        """Decode the content of a registry key."""

    def dialer(
        self,
        clock: clocks.Clock,
        reply_bytes: int,
        links: link_bytes.LinkBytes,
    ) -> transports.SearcherDialer:
        """Return a dialer for connections to searchers.

        :param reply_bytes: memory of the responses that arrive on all of them.
        :param links: counts the bytes.
        """

    def request(
        self, request: caller_listener.ReceivedRequest
    ) -> forward_messages.ForwardRequest:
        """Decode a caller's request.

        :raises MalformedRequest: the request cannot be decoded.
        """

    def given_key(
        self, request: caller_listener.ReceivedRequest
    ) -> explanation.GivenKey | None:
        """Return the key of a request; None if it states none."""

    def answer(
        self,
        answer: forward_messages.ForwardAnswer,
        request: caller_listener.ReceivedRequest,
    ) -> caller_listener.HttpResponse:
        """Encode the answer to a caller's request."""
