"""corianderport_tier.errors

The exception tree; each exception carries its result code.
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
    'MalformedRequest',
    'HistoryGone',
    'NoUpstream',
    'NotOwner',
    'NotReady',
    'OutcomeUnknown',
    'Overloaded',
    'QuotaExceeded',
    'Refusal',
    'SettingInvalid',
    'TicketExpired',
    'TicketInvalid',
    'TransportError',
    'Unauthenticated',
    'UnknownService',
    'UpstreamFailed',
    'UpstreamRefused',
]


class CorianderportError(Exception):
    """Base of all errors of the system."""

    code: typing.ClassVar[result_codes.ResultCode] = (
        result_codes.ResultCode.INTERNAL_ERROR
    )


class Refusal(CorianderportError):
    """The request was refused and no upstream acted on it."""


class MalformedRequest(Refusal):
    """The request cannot be parsed or has a field out of range."""

    code = result_codes.ResultCode.MALFORMED_REQUEST


class UnknownService(Refusal):
    """The configuration has no search or action of this name."""

    code = result_codes.ResultCode.UNKNOWN_SERVICE


class BodyTooLarge(Refusal):
    """The request body is longer than the limit."""

    code = result_codes.ResultCode.BODY_TOO_LARGE


class DeadlinePast(Refusal):
    """The deadline passed before anything was sent."""

    code = result_codes.ResultCode.DEADLINE_PAST


class NotReady(Refusal):
    """The host has no configuration yet, or it is shutting down."""

    code = result_codes.ResultCode.NOT_READY


class Overloaded(Refusal):
    """The request cannot finish in time under the present load."""

    code = result_codes.ResultCode.OVERLOADED


class QuotaExceeded(Refusal):
    """The customer is over its share while the host is overloaded."""

    code = result_codes.ResultCode.QUOTA_EXCEEDED


class NoUpstream(Refusal):
    """No searcher in service can take the request."""

    code = result_codes.ResultCode.NO_UPSTREAM


class TicketInvalid(Refusal):
    """The ticket is malformed or its signature does not match."""

    code = result_codes.ResultCode.TICKET_INVALID


class TicketExpired(Refusal):
    """The ticket expired before its action was started."""

    code = result_codes.ResultCode.TICKET_EXPIRED


class UpstreamRefused(Refusal):
    """Every upstream that got the request refused it explicitly."""

    code = result_codes.ResultCode.UPSTREAM_REFUSED


class NotOwner(Refusal):
    """This host knows nothing of the ticket of a forwarded action."""

    code = result_codes.ResultCode.NOT_OWNER


class Unauthenticated(Refusal):
    """The peer did not prove that it has the shared key."""

    code = result_codes.ResultCode.UNAUTHENTICATED


class UpstreamFailed(CorianderportError):
    """The upstream ran the request and reported a failure."""

    code = result_codes.ResultCode.UPSTREAM_FAILED


class OutcomeUnknown(CorianderportError):
    """The request may or may not have run."""

    code = result_codes.ResultCode.OUTCOME_UNKNOWN


class ConfigurationInvalid(CorianderportError):
    """A configuration has faults; it changes nothing."""

    code = result_codes.ResultCode.CONFIGURATION_INVALID


class ConfigurationStale(CorianderportError):
    """A configuration is not newer than the accepted one."""

    code = result_codes.ResultCode.CONFIGURATION_STALE


class SettingInvalid(CorianderportError):
    """A setting is unknown, missing or out of range."""

    code = result_codes.ResultCode.SETTING_INVALID


class TransportError(CorianderportError):
    """A connection to an upstream or a peer failed.

    ``fresh`` says that the connection had carried no reply before, so
    that it cannot have been half-open already.
    """

    code = result_codes.ResultCode.OUTCOME_UNKNOWN
    fresh: bool = False


class ConnectFailed(TransportError):
    """The connection was not established; no byte was sent."""

    code = result_codes.ResultCode.NO_UPSTREAM


class ConnectRefused(ConnectFailed):
    """The address answered that no process listens on it."""


class ConnectionBroken(TransportError):
    """The connection ended after bytes may have been sent."""


class ConnectionSilent(TransportError):
    """No answer arrived within the attempt's timeout."""


class ConnectionStale(TransportError):
    """An idle connection had ended before anything was sent on it."""

    code = result_codes.ResultCode.NO_UPSTREAM


class HistoryGone(CorianderportError):
    """The platform no longer has the changes that were asked for."""
