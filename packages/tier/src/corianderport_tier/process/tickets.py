"""corianderport_tier.process.tickets

Signed tickets for actions.
"""

import base64
import binascii
import hashlib
import hmac

import attrs

from corianderport_tier import errors

__all__ = ['Ticket', 'TicketSigner']

_FIELD_COUNT = 4
_MAX_TICKET_LENGTH = 2_000
_MIN_KEY_LENGTH = 8


@attrs.frozen
class Ticket:
    """Permission to run one action once, in the process that issued it.

    ``expires_ms`` is in milliseconds since the Unix epoch, by the clock of
    the issuing host.
    """

    host: str
    incarnation: str
    expires_ms: int
    nonce: str


class TicketSigner:
    """Signs tickets with the first key; accepts signatures of any key.

    With several keys, a shared key can be replaced host by host.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = keys

    @classmethod
    def from_config(cls, shared_keys: str) -> 'TicketSigner':
        """Return a signer for a setting with comma-separated keys.

        :raises SettingInvalid: there is no key, or a key is too short.
        """
        keys = tuple(key.strip().encode() for key in shared_keys.split(','))
        if any(len(key) < _MIN_KEY_LENGTH for key in keys):
            raise errors.SettingInvalid(
                f'shared_keys: a key has fewer than {_MIN_KEY_LENGTH} bytes'
            )
        return cls(keys)

    def sign(self, ticket: Ticket) -> str:
        """Return the signed text of a ticket."""
        fields = (
            ticket.host,
            ticket.incarnation,
            str(ticket.expires_ms),
            ticket.nonce,
        )
        content = '\n'.join(fields).encode()
        return f'{_encode(content)}.{_encode(_mac(self._keys[0], content))}'

    def verify(self, text: str) -> Ticket:
        """Parse a signed ticket and verify its signature.

        :raises TicketInvalid: the text is malformed or no key matches.
        """
        if len(text) > _MAX_TICKET_LENGTH:
            raise errors.TicketInvalid('the ticket is too long')
        body, _, signature = text.partition('.')
        content = _decode(body)
        received_mac = _decode(signature)
        matches = [
            hmac.compare_digest(_mac(key, content), received_mac)
            for key in self._keys
        ]
        if not any(matches):
            raise errors.TicketInvalid('the signature matches no shared key')
        return _parse_content(content)


def _parse_content(content: bytes) -> Ticket:
    fields = content.decode().split('\n')
    if len(fields) != _FIELD_COUNT or not fields[2].isdecimal():
        raise errors.TicketInvalid('the ticket has unexpected fields')
    host, incarnation, expires_ms, nonce = fields
    return Ticket(host, incarnation, int(expires_ms), nonce)


def _mac(key: bytes, content: bytes) -> bytes:
    return hmac.new(key, content, hashlib.sha256).digest()


def _encode(content: bytes) -> str:
    return base64.urlsafe_b64encode(content).decode()


def _decode(text: str) -> bytes:
    try:
        return base64.b64decode(text.encode(), altchars=b'-_', validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.TicketInvalid('the ticket is malformed') from error
