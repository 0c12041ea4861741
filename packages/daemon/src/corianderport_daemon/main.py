"""corianderport_daemon.main

Command ``corianderportd``: runs one entry host.
"""

import json
import logging
import os
import signal
import sys
import threading

import fire

from corianderport_daemon.process import daemon
from corianderport_daemon.process import settings
from corianderport_tier import errors
from corianderport_wire.process import json_log

__all__ = ['main', 'run']

_EXIT_INVALID_SETTINGS = 2
_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(**flags: object) -> None:
    """Run a host until SIGTERM or SIGINT; a second one cuts the stop short.

    Every setting is a flag or an environment variable with the prefix
    CORIANDERPORT_; docs/settings.md lists them.
    """
    try:
        loaded = settings.load(flags, os.environ)
    except errors.SettingInvalid as error:
        print(f'corianderportd: {error}', file=sys.stderr)
        sys.exit(_EXIT_INVALID_SETTINGS)
    # All threads inherit this mask. A single thread waits for the signals,
    # so that no signal handler interrupts code that holds a lock.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    with (
        json_log.JsonLog(sys.stderr, loaded.log_level),
        daemon.Daemon.from_settings(loaded) as host,
    ):
        threading.Thread(
            target=_handle_signals, args=(host,), name='signals', daemon=True
        ).start()
        _print_addresses(host)
        host.wait()
    # Threads that still wait for an upstream must not delay the exit.
    logging.shutdown()
    os._exit(0)


def _handle_signals(host: daemon.Daemon) -> None:
    while True:
        signal.sigwait(_SIGNALS)
        host.stop()


def _print_addresses(host: daemon.Daemon) -> None:
    """Print the listening addresses as one line of JSON."""
    addresses = {
        'caller_address': host.caller_address,
        'peer_address': host.peer_address,
        'admin_address': host.admin_address,
    }
    print(json.dumps(addresses), flush=True)


def main() -> None:
    """Parse the flags and run the daemon."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
