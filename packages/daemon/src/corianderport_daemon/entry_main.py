"""corianderport_daemon.entry_main

Runs an entry host that sends to searchers itself.
"""

import logging
import os
import signal
import sys
import threading

from corianderport_daemon.process import entry_host
from corianderport_tier import errors
from corianderport_wire.process import json_log

__all__ = ['run']

_EXIT_SETTINGS = 2
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)
# Tasks call only a few functions deep; the default of 8 MB for each of
# hundreds of threads would count as memory in use once it is touched.
_STACK_BYTES = 512 * 1024


def run(adapter: entry_host.Adapter) -> int:
    """Run a host until SIGTERM or SIGINT; SIGHUP reads settings anew."""
    threading.stack_size(_STACK_BYTES)
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    with json_log.JsonLog(sys.stdout, logging.getLevelName(logging.INFO)):
        try:
            host = entry_host.EntryHost.from_adapter(adapter)
        except errors.SettingInvalid as error:
            logging.getLogger(__name__).error('settings: %s', error)
            return _EXIT_SETTINGS
        with host:
            threading.Thread(
                target=_take_signals, args=(host,), daemon=True
            ).start()
            host.wait()
    logging.shutdown()
    sys.stdout.flush()
    # Tasks that still wait for a searcher must not delay the exit.
    os._exit(0)


def _take_signals(host: entry_host.EntryHost) -> None:
    while True:
        if signal.sigwait(_SIGNALS) == signal.SIGHUP:
            host.reload()
        else:
            host.stop()
