"""Forms of replies: each row of docs/http-forms.md, end to end."""

import collections.abc

import pytest

from . import http_host


@pytest.fixture(scope='module')
def host(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[http_host.HttpHost]:
    with http_host.running(tmp_path_factory.mktemp('host')) as started:
        yield started


def test_head_of_the_metrics(host: http_host.HttpHost) -> None:
    """Guards against a connection that is closed without a response.

    The host's own response has a body, which must not be sent.
    """
    with host.connect_metrics() as caller:
        responses = http_host.Responses(caller)
        caller.sendall(b'HEAD /metrics HTTP/1.1\r\nhost: a\r\n\r\n')
        response = responses.read(b'HEAD')
        assert response is not None
        assert response.status == 200
        assert int(response.values(b'content-length')[0]) > 0
        caller.sendall(b'GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n')
        response = responses.read()
        assert response is not None
        assert b'corianderport_decisions_total' in response.body
