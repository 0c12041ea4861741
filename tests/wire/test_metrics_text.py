"""Metrics in the text format."""

from corianderport_tier.process import metrics
from corianderport_wire.process import metrics_text


def test_age_of_the_store_is_shown_once_it_is_known() -> None:
    """Guards against an age that looks small before the first read."""
    totals = metrics.Metrics().totals()
    assert b'store_age_seconds' not in metrics_text.render(totals)
    text = metrics_text.render(totals, 1.25).decode()
    assert 'corianderport_store_age_seconds 1.25\n' in text
