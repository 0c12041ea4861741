"""corianderport_testkit.version.corpus

Seeded documents and a text search over them.
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
    """One document of the catalogue."""

    ordinal: int
    title: str
    text: str

    @property
    def name(self) -> str:
        """Identity of the document in hits."""
        return f'item-{self.ordinal:06d}'


@functools.cache
def documents(
    count: int, snapshot: int, seed: int = 1
) -> tuple[Document, ...]:
    """Return the documents of a snapshot.

    The edition in the title and the quality of an item differ between
    snapshots, so that a mixture of two snapshots is visible in the hits.
    """
    rng = random.Random(f'{seed}.{snapshot}')
    made = []
    for ordinal in range(count):
        item = rng.choice(_ITEMS)
        quality = rng.choice(_QUALITIES)
        place = rng.choice(_PLACES)
        title = f'{quality} {item}, edition {snapshot}'
        extra = ' '.join(rng.choices(_ITEMS + _QUALITIES, k=rng.randint(0, 6)))
        made.append(Document(ordinal, title, f'{title} from {place} {extra}'))
    return tuple(made)


@functools.cache
def _analyzer() -> whoosh.analysis.Analyzer:
    return whoosh.analysis.StemmingAnalyzer()


def _terms(text: str) -> list[str]:
    return [token.text for token in _analyzer()(text)]


class TextIndex:
    """An inverted index; scores do not depend on other documents."""

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
        """Return the best hits for any of the query's terms."""
        found: collections.Counter[int] = collections.Counter()
        for term in sorted(set(_terms(query))):
            found.update(self._postings.get(term, {}))
        hits = tuple(
            messages.Hit(
                self._documents[ordinal].name,
                count / self._lengths[ordinal],
                self._documents[ordinal].title,
            )
            for ordinal, count in found.items()
        )
        return merging.top_hits(
            [messages.ShardAnswer('all', True, hits)], limit
        )
