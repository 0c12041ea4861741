"""corianderport_testkit.version.naive

A reference search over all documents, for differential tests.
"""

import collections.abc
import functools

from corianderport_testkit.version import corpus
from corianderport_testkit.version import deployments
from corianderport_tier.request import messages

__all__ = ['search_all']


def search_all(
    deployment: deployments.Deployment,
    snapshot: int,
    query: str,
    limit: int,
    missing: collections.abc.Iterable[str] = (),
) -> tuple[messages.Hit, ...]:
    """Return the hits of a single index over the documents of a snapshot.

    :param missing: names of shards whose documents are left out.
    """
    index = _index(deployment, snapshot, frozenset(missing))
    return index.search(query, limit)


@functools.lru_cache(64)
def _index(
    deployment: deployments.Deployment,
    snapshot: int,
    missing: frozenset[str],
) -> corpus.TextIndex:
    content = corpus.documents(deployment.documents, snapshot)
    return corpus.TextIndex(
        document
        for shard in deployment.shard_map()
        if shard.name not in missing
        for document in content[shard.begin : shard.end]
    )
