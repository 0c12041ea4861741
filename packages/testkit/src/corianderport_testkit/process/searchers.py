"""corianderport_testkit.process.searchers

Runs the searchers of one data centre in a separate process.
"""

import json
import os
import signal
import threading

import fire

from corianderport_testkit.process import searcher
from corianderport_testkit.version import deployments

__all__ = ['main', 'run']


def run(data_centre: str, deployment: str) -> None:
    """Print the addresses as one line of JSON and serve until SIGTERM.

    :param deployment: JSON object with the fields of a ``Deployment``.
    """
    fields = json.loads(deployment)
    fields['snapshot_numbers'] = tuple(fields['snapshot_numbers'])
    parsed = deployments.Deployment(**fields)
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    servers = [
        searcher.SearcherServer(
            searcher.Searcher(
                name,
                parsed,
                searcher.Behaviour(
                    slots=parsed.slots, held=parsed.snapshot_numbers
                ),
            )
        )
        for name in parsed.searcher_names(data_centre)
    ]
    for server in servers:
        server.start()
    print(
        json.dumps({s.searcher.name: s.address for s in servers}), flush=True
    )
    stopped.wait()
    # Exits at once, because unanswered requests of silent searchers would
    # block an orderly shutdown.
    os._exit(0)


def main() -> None:
    """Parse the flags and serve."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
