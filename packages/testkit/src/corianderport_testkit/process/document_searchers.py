"""corianderport_testkit.process.document_searchers

Runs fake searchers for one data centre of a configuration document.
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
    """The shards of one service, whose documents are generated."""

    shards: tuple[snapshots.Shard, ...]

    @classmethod
    def from_configuration(
        cls, config: configuration.Configuration, service: str
    ) -> 'ServiceContent':
        """Return the shards of a service in each index's newest snapshot."""
        return cls(
            tuple(
                shard
                for index_snapshots in config.indexes.values()
                for shard in index_snapshots[0].shards_of((service,))
            )
        )

    @property
    def documents(self) -> int:
        """Number of documents up to the greatest end of a shard."""
        return max((shard.end for shard in self.shards), default=0)

    def shard_map(self) -> tuple[snapshots.Shard, ...]:
        """Return the shards of the service."""
        return self.shards


def run(data_centre: str, path: str) -> None:
    """Serve until SIGTERM; print ``{}`` when all searchers listen.

    The searchers listen on the addresses in the document.

    :param path: file that holds the configuration document.
    """
    config = document.DocumentCodec().decode(pathlib.Path(path).read_bytes())
    stop_event = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_event.set())
    numbers = {
        snapshot.number
        for index_snapshots in config.indexes.values()
        for snapshot in index_snapshots
    }
    with contextlib.ExitStack() as stack:
        for service in config.services.values():
            content = ServiceContent.from_configuration(config, service.name)
            for searcher_config in service.searchers:
                if searcher_config.data_centre != data_centre:
                    continue
                behaviour = searcher.Behaviour(
                    slots=service.limits.slots, held=tuple(sorted(numbers))
                )
                host, _, port = searcher_config.address.rpartition(':')
                fake_searcher = searcher.Searcher(
                    searcher_config.name, content, behaviour
                )
                _build_indexes(fake_searcher, config, content)
                server = searcher.SearcherServer(
                    fake_searcher, host, int(port)
                )
                stack.callback(server.close)
                server.start()
        print('{}', flush=True)
        stop_event.wait()


def _build_indexes(
    fake_searcher: searcher.Searcher,
    config: configuration.Configuration,
    content: ServiceContent,
) -> None:
    """Search all shards once, since a shard is indexed on first use."""
    for index, index_snapshots in config.indexes.items():
        fake_searcher.search(
            messages.UpstreamSearch(
                request_id='start',
                attempt_id='start',
                index=index,
                snapshot=index_snapshots[0].number,
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
