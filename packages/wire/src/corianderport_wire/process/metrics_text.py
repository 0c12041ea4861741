"""corianderport_wire.process.metrics_text

Prints the counters of a host in the text format of Prometheus.
"""

import math

import aioprometheus.collectors
import aioprometheus.formats.text
import aioprometheus.histogram

from corianderport_tier.process import metrics

__all__ = ['CONTENT_TYPE', 'render']

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


def render(totals: metrics.Totals) -> bytes:
    """Return the text of one scrape."""
    registry = aioprometheus.collectors.Registry()
    for collector in (
        _results(totals),
        _decisions(totals),
        _sub_requests(totals),
        _hedges(totals),
        _refusals(totals),
        _latencies(totals),
    ):
        registry.register(collector)
    formatter = aioprometheus.formats.text.TextFormatter()
    return formatter.marshall(registry)


def _counter(name: str, doc: str) -> aioprometheus.collectors.Counter:
    return aioprometheus.collectors.Counter(f'corianderport_{name}', doc)


def _results(totals: metrics.Totals) -> aioprometheus.collectors.Counter:
    counter = _counter('results_total', 'Requests of callers by result.')
    for (request, code), count in sorted(totals.results.items()):
        labels = {
            'request': request,
            'code': str(int(code)),
            'name': code.name,
            'ran': code.ran.value,
        }
        counter.set(labels, count)
    return counter


def _decisions(totals: metrics.Totals) -> aioprometheus.collectors.Counter:
    counter = _counter('decisions_total', 'Decisions by kind.')
    for kind, count in sorted(totals.decisions.items()):
        counter.set({'kind': kind}, count)
    return counter


def _sub_requests(totals: metrics.Totals) -> aioprometheus.collectors.Counter:
    counter = _counter('sub_requests_total', 'Sub-requests to searchers.')
    counter.set({}, totals.sub_requests)
    return counter


def _hedges(totals: metrics.Totals) -> aioprometheus.collectors.Counter:
    counter = _counter('hedges_total', 'Sub-requests that were hedges.')
    counter.set({}, totals.hedges)
    return counter


def _refusals(totals: metrics.Totals) -> aioprometheus.collectors.Counter:
    counter = _counter('refusals_total', 'Requests that were not run.')
    for code, count in sorted(totals.refusals.items()):
        counter.set({'code': str(int(code)), 'name': code.name}, count)
    return counter


def _latencies(totals: metrics.Totals) -> aioprometheus.collectors.Histogram:
    bounds = (*metrics.LATENCY_BOUNDS_S, math.inf)
    histogram = aioprometheus.collectors.Histogram(
        'corianderport_latency_seconds',
        'Time from a request to its answer.',
        buckets=bounds,
    )
    for request, latencies in sorted(totals.latencies.items()):
        labels = {'request': request}
        values = aioprometheus.histogram.Histogram(*bounds)
        reached = 0
        for bound, count in zip(bounds, latencies.counts, strict=True):
            reached += count
            values.buckets[bound] = reached
        values.observations = reached
        values.sum = latencies.sum_s
        histogram.set_value(labels, values)
    return histogram
