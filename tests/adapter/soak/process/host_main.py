"""Runs an entry host whose peers reach it through a proxy.

The settings of the platform have one address for listening to peers and for
telling them; here they differ.
"""

import faulthandler
import os
import signal
import sys

from corianderport_daemon import entry_main
from corianderport_platform import adapter
from corianderport_wire.connection import peer_server

PEER_ADDRESS = 'SOAK_PEER_ADDRESS'


def _told_address(server: peer_server.PeerServer) -> str:
    return os.environ[PEER_ADDRESS]


if __name__ == '__main__':
    # Writes all call stacks to the log of a host that does not serve.
    faulthandler.register(signal.SIGUSR1)
    peer_server.PeerServer.address = property(_told_address)  # type: ignore
    sys.exit(entry_main.run(adapter.PlatformAdapter()))
