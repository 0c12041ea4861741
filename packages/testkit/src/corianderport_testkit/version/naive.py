"""corianderport_testkit.version.naive

A naive search over all documents, for differential tests.
"""

from corianderport_testkit.version import corpus
from corianderport_testkit.version import deployments
from corianderport_tier.request import messages

__all__ = ['search_all']


def search_all(
    deployment: deployments.Deployment, snapshot: int, query: str, limit: int
) -> tuple[messages.Hit, ...]:
    """Return the hits of one index over all documents of a snapshot."""
    content = corpus.documents(deployment.documents, snapshot)
    return corpus.TextIndex(content).search(query, limit)
