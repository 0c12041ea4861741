"""StoreContact: outages of the store and lost connections."""

import pytest

from corianderport_tier import errors
from corianderport_tier.process import store_contact


def _fresh(error: errors.TransportError) -> errors.TransportError:
    error.fresh = True
    return error


_SILENT = errors.ConnectionSilent('no reply')
_BROKEN = errors.ConnectionBroken('reset')
_REFUSED = _fresh(errors.ConnectFailed('refused'))


@pytest.mark.parametrize(
    ('failures', 'outage'),
    [
        ([_SILENT], False),
        ([_BROKEN], False),
        ([errors.ConnectionBroken('status 429')], False),
        ([errors.ReplyIncomplete('slow link')], False),
        ([_fresh(errors.ReplyIncomplete('slow link'))], False),
        ([_fresh(errors.ReplyTooLarge(''))], False),
        ([_SILENT, _BROKEN], False),
        ([_REFUSED], True),
        ([_fresh(errors.ConnectionSilent(''))], True),
        ([errors.StoreUnavailable('status 503')], True),
        ([_SILENT, _REFUSED], True),
        ([_REFUSED, _BROKEN], True),
    ],
)  # fmt: skip
def test_only_a_new_connection_shows_an_outage(
    failures: list[errors.CorianderportError], outage: bool
) -> None:
    """Guards against a lost connection that passes for an outage.

    After an outage, searchers stay in use for a while without an entry.
    """
    contact = store_contact.StoreContact()
    assert contact.interruption is None
    for error in failures:
        contact.record_failure(error)
    assert contact.interruption is not None
    assert contact.record_reply() is outage
    assert contact.interruption is None
    assert not contact.record_reply()
