"""corianderport_testkit.process.document_searchers

Runs the searchers of one data centre at the addresses of a document.
"""

import contextlib
import pathlib
import signal
import threading

import attrs
import fire

from corianderport_testkit.process import searcher
from corianderport_tier import clocks
from corianderport_tier.request import deadlines
from corianderport_tier.request import messages
from corianderport_tier.version import configuration
from corianderport_tier.version import snapshots
from corianderport_wire.version import document

__all__ = ['ServiceContent', 'main', 'run']


@attrs.frozen
class ServiceContent:
    """The shards of one service, with made-up documents."""

    shards: tuple[snapshots.Shard, ...]

    @classmethod
    def from_configuration(
        cls, accepted: configuration.Configuration, service: str
    ) -> 'ServiceContent':
        """Return the shards of a service in the newest snapshots."""
        return cls(
            tuple(
                shard
                for published in accepted.indexes.values()
                for shard in published[0].shards_of((service,))
            )
        )

    @property
    def documents(self) -> int:
        """Number of documents up to the end of the last shard."""
        return max((shard.end for shard in self.shards), default=0)

    def shard_map(self) -> tuple[snapshots.Shard, ...]:
        """Return the shards of the service."""
        return self.shards


def run(data_centre: str, path: str) -> None:
    """Serve until SIGTERM; print a line when all searchers listen.

    :param path: file of the document.
    """
    accepted = document.DocumentCodec().decode(pathlib.Path(path).read_bytes())
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    numbers = {
        snapshot.number
        for published in accepted.indexes.values()
        for snapshot in published
    }
    with contextlib.ExitStack() as stack:
        for service in accepted.services.values():
            content = ServiceContent.from_configuration(accepted, service.name)
            for described in service.searchers:
                if described.data_centre != data_centre:
                    continue
                behaviour = searcher.Behaviour(
                    slots=service.limits.slots, held=tuple(sorted(numbers))
                )
                host, _, port = described.address.rpartition(':')
                double = searcher.Searcher(described.name, content, behaviour)
                _build_indexes(double, accepted, content)
                server = searcher.SearcherServer(double, host, int(port))
                stack.callback(server.close)
                server.start()
        print('{}', flush=True)
        stopped.wait()


def _build_indexes(
    double: searcher.Searcher,
    accepted: configuration.Configuration,
    content: ServiceContent,
) -> None:
    """Search all shards once, since they are indexed at their first use."""
    for index, published in accepted.indexes.items():
        double.search(
            messages.UpstreamSearch(
                request_id='start',
                attempt_id='start',
                index=index,
                snapshot=published[0].number,
                shards=tuple(shard.name for shard in content.shards),
                query='',
                limit=1,
                deadline=deadlines.Deadline.after(clocks.SystemClock(), 60.0),
            )
        )


def main() -> None:
    """Parse the flags and serve."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
