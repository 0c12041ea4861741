"""corianderport_tier.errors

Exception hierarchy; each class carries its result code.
"""

import typing

from corianderport_tier import result_codes

__all__ = [
    'BodyTooLarge',
    'ConfigurationInvalid',
    'ConfigurationStale',
    'ConnectFailed',
    'ConnectRefused',
    'ConnectionBroken',
    'ConnectionSilent',
    'ConnectionStale',
    'CorianderportError',
    'DeadlinePast',
    'HistoryGone',
    'KeyUnconfirmed',
    'MalformedRequest',
    'NoUpstream',
    'NotOwner',
    'NotReady',
    'NotRelayed',
    'OutcomeUnknown',
    'Overloaded',
    'QuotaExceeded',
    'QuotaPending',
    'Refusal',
    'ReplyIncomplete',
    'ReplyInvalid',
    'ReplyTooLarge',
    'SettingInvalid',
    'StoreUnavailable',
    'TicketExpired',
    'TicketInvalid',
    'TransportError',
    'Unauthenticated',
    'UnknownService',
    'UpstreamFailed',
    'UpstreamRefused',
]


class CorianderportError(Exception):
    """Base class of all errors of this project."""

    code: typing.ClassVar[result_codes.ResultCode] = (
        result_codes.ResultCode.INTERNAL_ERROR
    )


class Refusal(CorianderportError):
    """The request was refused before any upstream acted on it."""


class MalformedRequest(Refusal):
    """The request cannot be parsed, or a field is out of range."""

    code = result_codes.ResultCode.MALFORMED_REQUEST


class UnknownService(Refusal):
    """The configuration has no search or action with this name."""

    code = result_codes.ResultCode.UNKNOWN_SERVICE


class BodyTooLarge(Refusal):
    """The request body exceeds the size limit."""

    code = result_codes.ResultCode.BODY_TOO_LARGE


class DeadlinePast(Refusal):
    """The deadline expired before anything was sent upstream."""

    code = result_codes.ResultCode.DEADLINE_PAST


class NotReady(Refusal):
    """The host has no configuration yet or is shutting down."""

    code = result_codes.ResultCode.NOT_READY


class KeyUnconfirmed(NotReady):
    """The host cannot confirm the key of a request at present."""


class QuotaPending(NotReady):
    """The owners of the quota have just started and grant nothing yet.

    :param retry_after_s: time after which there will be quota available.
    """

    def __init__(self, text: str, retry_after_s: float) -> None:
        super().__init__(text)
        self.retry_after_s = retry_after_s


class Overloaded(Refusal):
    """The request cannot finish in time under the current load."""

    code = result_codes.ResultCode.OVERLOADED


class QuotaExceeded(Refusal):
    """The customer exceeds its quota, or its share of a loaded host.

    :param retry_after_s: time after which there will be quota available.
    """

    code = result_codes.ResultCode.QUOTA_EXCEEDED

    def __init__(self, text: str = '', retry_after_s: float = 0.0) -> None:
        super().__init__(text)
        self.retry_after_s = retry_after_s


class NoUpstream(Refusal):
    """No searcher in service can accept the request."""

    code = result_codes.ResultCode.NO_UPSTREAM


class TicketInvalid(Refusal):
    """The ticket is malformed or its signature does not match."""

    code = result_codes.ResultCode.TICKET_INVALID


class TicketExpired(Refusal):
    """The ticket expired before its action started."""

    code = result_codes.ResultCode.TICKET_EXPIRED


class UpstreamRefused(Refusal):
    """Every upstream that received the request explicitly refused it."""

    code = result_codes.ResultCode.UPSTREAM_REFUSED


class NotOwner(Refusal):
    """This host has no record of the ticket of a forwarded action."""

    code = result_codes.ResultCode.NOT_OWNER


class NotRelayed(Refusal):
    """The changes are too large for this host's link to relay them."""

    code = result_codes.ResultCode.NOT_RELAYED


class Unauthenticated(Refusal):
    """A host has no shared key, or a request no key of a workspace."""

    code = result_codes.ResultCode.UNAUTHENTICATED


class UpstreamFailed(CorianderportError):
    """The upstream ran the request and reported a failure."""

    code = result_codes.ResultCode.UPSTREAM_FAILED


class OutcomeUnknown(CorianderportError):
    """The request may or may not have run."""

    code = result_codes.ResultCode.OUTCOME_UNKNOWN


class ConfigurationInvalid(CorianderportError):
    """The configuration has errors and is not applied."""

    code = result_codes.ResultCode.CONFIGURATION_INVALID


class ConfigurationStale(CorianderportError):
    """The configuration is not newer than the accepted one."""

    code = result_codes.ResultCode.CONFIGURATION_STALE


class SettingInvalid(CorianderportError):
    """A setting is unknown, missing or out of range."""

    code = result_codes.ResultCode.SETTING_INVALID


class TransportError(CorianderportError):
    """A connection to an upstream or a peer failed.

    ``fresh`` is True if the connection had not carried a reply before, so
    it cannot already have been half-open.
    """

    code = result_codes.ResultCode.OUTCOME_UNKNOWN
    fresh: bool = False


class ConnectFailed(TransportError):
    """The connection could not be established; no byte was sent."""

    code = result_codes.ResultCode.NO_UPSTREAM


class ConnectRefused(ConnectFailed):
    """No process is listening on the address."""


class ConnectionBroken(TransportError):
    """The connection closed after bytes may have been sent."""


class ReplyInvalid(ConnectionBroken):
    """The reply is malformed or too large and cannot be passed on."""

    code = result_codes.ResultCode.REPLY_INVALID


class ReplyTooLarge(ReplyInvalid):
    """The body of the reply exceeds the largest size that is accepted."""


class StoreUnavailable(ConnectionBroken):
    """The store replied that it cannot serve calls at present."""


class ConnectionSilent(TransportError):
    """No reply arrived within the attempt's timeout."""


class ReplyIncomplete(ConnectionSilent):
    """A reply had begun to arrive when the attempt timed out."""


class ConnectionStale(TransportError):
    """An idle connection was closed before anything was sent on it."""

    code = result_codes.ResultCode.NO_UPSTREAM


class HistoryGone(CorianderportError):
    """The platform no longer retains the requested changes."""
