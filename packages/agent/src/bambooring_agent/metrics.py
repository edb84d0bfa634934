"""Define the metrics of an agent."""

import prometheus_client

STARTS = prometheus_client.Counter(
    'bambooring_agent_starts_total', 'Start messages received.'
)
REFUSALS = prometheus_client.Counter(
    'bambooring_agent_refusals_total',
    'Attempts refused without running, by reason.',
    ['reason'],
)
CALLS_ENDED = prometheus_client.Counter(
    'bambooring_agent_calls_ended_total',
    'Calls to the engine that ended, by outcome and reason.',
    ['outcome', 'reason'],
)
RUNNING = prometheus_client.Gauge(
    'bambooring_agent_running', 'Attempts running on the engine.'
)
QUEUED = prometheus_client.Gauge(
    'bambooring_agent_queued', 'Attempts waiting for a slot.'
)
