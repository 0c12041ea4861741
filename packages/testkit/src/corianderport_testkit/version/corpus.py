"""corianderport_testkit.version.corpus

Generated documents and a text index over them.
"""

import collections
import collections.abc
import functools
import random

import attrs
import whoosh.analysis

from corianderport_tier.request import merging
from corianderport_tier.request import messages

__all__ = ['Document', 'TextIndex', 'documents']

_ITEMS = (
    'stilts', 'juggling clubs', 'rings', 'unicycle', 'diabolo', 'trapeze',
    'tightrope', 'balance board', 'poi', 'cigar boxes',
)  # fmt: skip
_QUALITIES = (
    'wooden', 'painted', 'folding', 'beginner', 'festival', 'carbon',
    'repaired', 'padded', 'long', 'short',
)  # fmt: skip
_PLACES = (
    'Ahmedabad', 'Surat', 'Vadodara', 'Rajkot', 'Bhavnagar', 'Jamnagar',
)  # fmt: skip


@attrs.frozen
class Document:
    """One document of the generated catalogue."""

    ordinal: int
    title: str
    text: str

    @property
    def name(self) -> str:
        """Identifier of the document in hits."""
        return f'item-{self.ordinal:06d}'


@functools.cache
def documents(
    count: int, snapshot: int, seed: int = 1
) -> tuple[Document, ...]:
    """Return the documents of a snapshot, the same for the same arguments.

    The edition in the title and the quality of an item differ between
    snapshots, so that hits show whether an answer mixes two snapshots.
    """
    rng = random.Random(f'{seed}.{snapshot}')
    built = []
    for ordinal in range(count):
        item = rng.choice(_ITEMS)
        quality = rng.choice(_QUALITIES)
        place = rng.choice(_PLACES)
        title = f'{quality} {item}, edition {snapshot}'
        extra = ' '.join(rng.choices(_ITEMS + _QUALITIES, k=rng.randint(0, 6)))
        built.append(Document(ordinal, title, f'{title} from {place} {extra}'))
    return tuple(built)


@functools.cache
def _analyzer() -> whoosh.analysis.Analyzer:
    return whoosh.analysis.StemmingAnalyzer()


def _terms(text: str) -> list[str]:
    return [token.text for token in _analyzer()(text)]


class TextIndex:
    """An inverted index of documents.

    The score of a document does not depend on other documents, so that
    scores from different shards are comparable.
    """

    def __init__(self, content: collections.abc.Iterable[Document]) -> None:
        self._documents: dict[int, Document] = {}
        self._lengths: dict[int, int] = {}
        self._postings: dict[str, dict[int, int]] = {}
        for document in content:
            terms = _terms(document.text)
            self._documents[document.ordinal] = document
            self._lengths[document.ordinal] = len(terms)
            for term, count in collections.Counter(terms).items():
                self._postings.setdefault(term, {})[document.ordinal] = count

    def search(self, query: str, limit: int) -> tuple[messages.Hit, ...]:
        """Return the best hits among documents with any term of the query."""
        matches: collections.Counter[int] = collections.Counter()
        for term in sorted(set(_terms(query))):
            matches.update(self._postings.get(term, {}))
        hits = tuple(
            messages.Hit(
                self._documents[ordinal].name,
                count / self._lengths[ordinal],
                self._documents[ordinal].title,
            )
            for ordinal, count in matches.items()
        )
        return merging.top_hits(
            [messages.ShardAnswer('all', True, hits)], limit
        )
