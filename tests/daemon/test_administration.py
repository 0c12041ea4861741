"""The administration interface is served before any configuration."""

import pytest

from corianderport_daemon.process import daemon
from corianderport_daemon.process import settings
from corianderport_operator.connection import admin_client
from corianderport_testkit.process import platform
from corianderport_tier import errors


def test_new_host_reports_missing_configuration() -> None:
    """Guards against a listener that waits for a configuration.

    Operators could not tell why a host without a configuration serves no
    callers.
    """
    with platform.Platform() as published:
        flags = {
            'host': 'host-0',
            'data_centre': 'dc-a',
            'platform': published.address,
            'shared_keys': 'a shared key of the test',
        }
        with (
            daemon.Daemon.from_settings(settings.load(flags, {})) as host,
            admin_client.AdminClient(host.admin_address) as client,
        ):
            assert client.version().host == 'host-0'
            assert client.version().version == 0
            assert not client.ready().ready
            assert client.refusals() == {}
            with pytest.raises(errors.NotReady, match='no configuration'):
                client.configuration()
