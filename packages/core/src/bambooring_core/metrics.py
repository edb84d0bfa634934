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

HELD_BYTES = prometheus_client.Gauge(
    'bambooring_held_bytes',
    'Bytes held for callers and targets, as counted by the memory budget.',
)
HELD_BYTES_LIMIT = prometheus_client.Gauge(
    'bambooring_held_bytes_limit',
    'Bytes that may be held for callers and targets; 0 without a limit.',
)
CALLER_CONNECTIONS_CLOSED = prometheus_client.Counter(
    'bambooring_caller_connections_closed_total',
    'Connections of callers closed because a limit was near, by reason.',
    ['reason'],
)


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()
