"""Define the metrics that all processes have."""

import prometheus_client

LINKS_CLOSED = prometheus_client.Counter(
    'bambooring_links_closed_total',
    'Closed links between processes, by reason.',
    ['reason'],
)
UNREADABLE_REQUESTS = prometheus_client.Counter(
    'bambooring_metrics_requests_unreadable_total',
    'Invalid HTTP requests for metrics, by reason.',
    ['reason'],
)
DECODER_FAULTS = prometheus_client.Counter(
    'bambooring_decoder_faults_total',
    'Inputs dropped because decoding them failed unexpectedly, by decoder.',
    ['decoder'],
)


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()
