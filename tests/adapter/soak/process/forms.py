"""Behaviours of searchers by name, with the forms that belong to a seed."""

import hypothesis

from ... import http_grammar
from . import searcher

__all__ = ['behaviours']

_FORMS = 40


def _drawn(strategy: hypothesis.strategies.SearchStrategy, seed: int) -> list:
    """Return examples; the same ones for the same seed."""
    drawn = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=_FORMS,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def collect(example: object) -> None:
        drawn.append(example)

    collect()
    return drawn


def behaviours(seed: int) -> dict[str, searcher.Behaviour]:
    """Return the behaviours of the searchers of a run."""
    valid = _drawn(http_grammar.replies(searcher.IDENTITY), seed)
    malformed = _drawn(http_grammar.malformed_replies(searcher.IDENTITY), seed)
    return {
        'ordinary': searcher.Ordinary(),
        'copying': searcher.Copying(),
        'refusing': searcher.Refusing(),
        'pausing': searcher.Pausing(),
        'leaving': searcher.Leaving(),
        'forms': searcher.Forms(tuple(valid)),
        'malformed': searcher.MalformedForms(tuple(malformed)),
    }
