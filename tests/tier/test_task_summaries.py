"""The decision line of an answer tells what delayed its parts."""

from . import entries
from . import test_forwarding


def test_gather_limited_by_the_link_is_told_from_late_sends() -> None:
    """Guards against an answer line that fits both explanations."""
    services = ('s1', 's2')
    host = test_forwarding.Host(entries.route(services, 0.5), replicas=1)
    host.start()
    first, second = host.take(), host.take()
    host.clock.advance(0.006)
    host.end(first, test_forwarding.reply(body=b'x' * 96))
    host.clock.advance(0.012)
    host.end(second, test_forwarding.reply(body=b'x' * 32))
    host.finish()
    answer = host.forwarder.log.recent()[-1]
    assert answer.kind == 'answer'
    assert answer.inputs['reply_bytes'] == 128
    assert answer.inputs['connection_wait_ms'] == [6.0, 18.0, 18.0]
    assert answer.inputs['sent_ms'] == [6.0, 18.0, 18.0]
