"""corianderport_wire.process.metrics_text

Renders the metrics of a host in the Prometheus text format.
"""

import collections.abc
import math

import aioprometheus.collectors
import aioprometheus.formats.text
import aioprometheus.histogram

from corianderport_tier.process import link_bytes
from corianderport_tier.process import metrics

__all__ = ['CONTENT_TYPE', 'render']

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

Registry = aioprometheus.collectors.Registry
Counter = aioprometheus.collectors.Counter


def render(
    totals: metrics.Totals,
    store_age_s: float = math.inf,
    links: collections.abc.Iterable[link_bytes.LinkTotal] = (),
) -> bytes:
    """Return the response body of one scrape.

    :param store_age_s: age of what the host knows of the store, in seconds;
        infinite if it is unknown.
    :param links: bytes and messages by kind and place.
    """
    registry = Registry()
    _add_results(registry, totals)
    _add_refusals(registry, totals)
    _add_decisions(registry, totals)
    _add_placements(registry, totals)
    _add_latencies(registry, totals)
    _add_links(registry, links)
    if store_age_s < math.inf:
        gauge = aioprometheus.collectors.Gauge(
            'corianderport_store_age_seconds',
            'Time since what is known of the store was certainly current.',
            registry=registry,
        )
        gauge.set({}, store_age_s)
    formatter = aioprometheus.formats.text.TextFormatter()
    return formatter.marshall(registry)


def _counter(registry: Registry, name: str, doc: str) -> Counter:
    return Counter(f'corianderport_{name}', doc, registry=registry)


def _add_results(registry: Registry, totals: metrics.Totals) -> None:
    counter = _counter(
        registry, 'results_total', 'Requests of callers by result.'
    )
    for (request, code), count in sorted(totals.results.items()):
        labels = {
            'request': request,
            'code': str(int(code)),
            'name': code.name,
            'ran': code.ran.value,
        }
        counter.set(labels, count)


def _add_refusals(registry: Registry, totals: metrics.Totals) -> None:
    counter = _counter(
        registry, 'refusals_total', 'Requests that were not run.'
    )
    for code, count in sorted(totals.refusals.items()):
        counter.set({'code': str(int(code)), 'name': code.name}, count)


def _add_decisions(registry: Registry, totals: metrics.Totals) -> None:
    counter = _counter(registry, 'decisions_total', 'Decisions by kind.')
    for kind, count in sorted(totals.decisions.items()):
        counter.set({'kind': kind}, count)
    counter = _counter(
        registry, 'sub_requests_total', 'Sub-requests to searchers.'
    )
    counter.set({}, totals.sub_requests)
    counter = _counter(
        registry, 'hedges_total', 'Sub-requests that were hedges.'
    )
    counter.set({}, totals.hedges)


def _add_placements(registry: Registry, totals: metrics.Totals) -> None:
    sends = _counter(
        registry, 'placement_sends_total', 'Sends by placement policy.'
    )
    expected = _counter(
        registry,
        'placement_expected_seconds_total',
        'Expected run times of the sends.',
    )
    outstanding = _counter(
        registry,
        'placement_outstanding_seconds_total',
        'Outstanding work of the chosen searchers.',
    )
    for policy, placed in sorted(totals.placements.items()):
        labels = {'policy': policy}
        sends.set(labels, placed.sends)
        expected.set(labels, placed.expected_s)
        outstanding.set(labels, placed.outstanding_s)


def _add_links(
    registry: Registry, links: collections.abc.Iterable[link_bytes.LinkTotal]
) -> None:
    bytes_counter = _counter(
        registry,
        'link_bytes_total',
        'Bytes exchanged, by what they belong to and by data centre.',
    )
    messages_counter = _counter(
        registry,
        'link_messages_total',
        'Messages exchanged, by what they belong to and by data centre.',
    )
    for link in links:
        labels = {
            'direction': link.direction.value,
            'kind': link.kind.value,
            'place': link.place.value,
        }
        bytes_counter.set(labels, link.bytes)
        messages_counter.set(labels, link.messages)


def _add_latencies(registry: Registry, totals: metrics.Totals) -> None:
    bounds = (*metrics.LATENCY_BOUNDS_S, math.inf)
    histogram = aioprometheus.collectors.Histogram(
        'corianderport_latency_seconds',
        'Time from a request to its answer.',
        registry=registry,
        buckets=bounds,
    )
    for request, latencies in sorted(totals.latencies.items()):
        values = aioprometheus.histogram.Histogram(*bounds)
        cumulative = 0
        for bound, count in zip(bounds, latencies.counts, strict=True):
            cumulative += count
            values.buckets[bound] = cumulative
        values.observations = cumulative
        values.sum = latencies.sum_s
        histogram.set_value({'request': request}, values)
