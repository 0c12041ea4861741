"""corianderport_daemon.process.host_reports

Serves what a host shows to operators and scrapers on its metrics address.
"""

import collections.abc

from corianderport_tier.process import link_report
from corianderport_tier.process import metrics
from corianderport_tier.process import store_freshness
from corianderport_tier.process import workspace_activity
from corianderport_tier.request import explanation
from corianderport_wire.connection import caller_listener

__all__ = ['HostReports']

GivenKeyDecoder = collections.abc.Callable[
    [caller_listener.ReceivedRequest], explanation.GivenKey | None
]

_EXPLAIN_TARGET = b'/explain'
_WORKSPACES_TARGET = b'/workspaces'
_LINKS_TARGET = b'/links'


class HostReports:
    """Answers the requests to the metrics address; changes nothing.

    The libraries are imported when they are first needed, since a host
    without a scraper does not need the memory that they take.
    """

    def __init__(
        self,
        counts: metrics.Metrics,
        freshness: store_freshness.StoreFreshness,
        explainer: explanation.Explainer,
        activity: workspace_activity.ActivityReporter,
        links: link_report.LinkReporter,
        given_key: GivenKeyDecoder,
    ) -> None:
        self._metrics = counts
        self._freshness = freshness
        self._explainer = explainer
        self._activity = activity
        self._links = links
        self._given_key = given_key

    def serve(
        self,
        received: caller_listener.ReceivedRequest,
        caller: caller_listener.CallerConnection,
    ) -> caller_listener.HttpResponse:
        """Answer by path; all paths without a report get the metrics."""
        path = received.target.partition(b'?')[0]
        if path == _EXPLAIN_TARGET:
            return self._explain(received)
        if path == _WORKSPACES_TARGET:
            return self._workspaces()
        if path == _LINKS_TARGET:
            return self._host_links()
        return self._metrics_text()

    def _explain(
        self, received: caller_listener.ReceivedRequest
    ) -> caller_listener.HttpResponse:
        from corianderport_wire.request import explain_codec

        return explain_codec.respond(
            received.target,
            self._given_key(received),
            self._explainer.explain,
        )

    def _workspaces(self) -> caller_listener.HttpResponse:
        from corianderport_wire.request import report_codec

        return report_codec.WORKSPACES.respond(self._activity.report)

    def _host_links(self) -> caller_listener.HttpResponse:
        from corianderport_wire.request import report_codec

        return report_codec.LINKS.respond(self._links.report)

    def _metrics_text(self) -> caller_listener.HttpResponse:
        from corianderport_wire.process import metrics_text

        content_type = metrics_text.CONTENT_TYPE.encode()
        return caller_listener.HttpResponse(
            200,
            ((b'content-type', content_type),),
            metrics_text.render(
                self._metrics.totals(),
                self._freshness.age_s,
                self._links.totals(),
            ),
        )
