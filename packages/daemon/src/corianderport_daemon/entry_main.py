"""corianderport_daemon.entry_main

Runs an entry host that sends directly to searchers.
"""

import linecache
import logging
import os
import signal
import sys
import threading

from corianderport_daemon.process import adapters
from corianderport_daemon.process import allocator
from corianderport_daemon.process import entry_host
from corianderport_tier import errors
from corianderport_wire.process import json_log

__all__ = ['run']

_EXIT_INVALID_SETTINGS = 2
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SIGNALS = (*_STOP_SIGNALS, signal.SIGHUP)
# The call stacks of the tasks are shallow. With the default of 8 MB, the
# touched pages of hundreds of stacks would add up in the memory in use.
_THREAD_STACK_BYTES = 512 * 1024


def run(adapter: adapters.Adapter) -> int:
    """Run a host until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    # attrs keeps the source of the methods that it has generated, 0.6 MB, for
    # tracebacks.
    linecache.clearcache()
    threading.stack_size(_THREAD_STACK_BYTES)
    allocator.limit_arenas()
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    with json_log.JsonLog(sys.stdout, logging.getLevelName(logging.INFO)):
        try:
            host = entry_host.EntryHost.from_adapter(adapter)
        except errors.SettingInvalid as error:
            logging.getLogger(__name__).error('invalid settings: %s', error)
            return _EXIT_INVALID_SETTINGS
        with host:
            threading.Thread(
                target=_handle_signals, args=(host,), daemon=True
            ).start()
            host.wait()
    logging.shutdown()
    sys.stdout.flush()
    # Threads that still wait for a searcher must not delay the exit.
    os._exit(0)


def _handle_signals(host: entry_host.EntryHost) -> None:
    while True:
        if signal.sigwait(_SIGNALS) == signal.SIGHUP:
            host.reload()
        else:
            host.stop()
