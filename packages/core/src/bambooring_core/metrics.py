"""Hold the counters that every process has."""

import prometheus_client

LINKS_CLOSED = prometheus_client.Counter(
    'bambooring_links_closed_total',
    'Links between processes that ended, by reason.',
    ['reason'],
)
UNREADABLE_REQUESTS = prometheus_client.Counter(
    'bambooring_metrics_requests_unreadable_total',
    'Requests for metrics that broke the protocol, by reason.',
    ['reason'],
)


def render() -> bytes:
    """Return every metric in the text format."""
    return prometheus_client.generate_latest()
