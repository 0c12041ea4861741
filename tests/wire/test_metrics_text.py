"""Metrics in the text format."""

from corianderport_tier.process import link_bytes
from corianderport_tier.process import metrics
from corianderport_wire.process import metrics_text


def test_age_of_the_store_is_shown_once_it_is_known() -> None:
    """Guards against an age that looks small before the first read."""
    totals = metrics.Metrics().totals()
    assert b'store_age_seconds' not in metrics_text.render(totals)
    text = metrics_text.render(totals, 1.25).decode()
    assert 'corianderport_store_age_seconds 1.25\n' in text


def test_bytes_have_a_line_for_each_direction_kind_and_place() -> None:
    """Guards against labels of one line at the value of another."""
    links = link_bytes.LinkBytes('dc-a')
    links.link(link_bytes.LinkKind.REGISTRY_RELAY, 'dc-b').sent(700, 2)
    links.link(link_bytes.LinkKind.HEALTH_CHECK).received(30, 1)
    text = metrics_text.render(
        metrics.Metrics().totals(), links=links.totals()
    ).decode()
    lines = [line for line in text.splitlines() if 'port_link_' in line]
    relayed = 'direction="sent",kind="registry-relay",place="other"'
    probed = 'direction="received",kind="health-check",place="unknown"'
    assert sorted(line for line in lines if line[0] != '#') == [
        f'corianderport_link_bytes_total{{{probed}}} 30',
        f'corianderport_link_bytes_total{{{relayed}}} 700',
        f'corianderport_link_messages_total{{{probed}}} 1',
        f'corianderport_link_messages_total{{{relayed}}} 2',
    ]
