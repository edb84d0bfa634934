"""Count what the agent does."""

import prometheus_client

STARTS = prometheus_client.Counter(
    'bambooring_agent_starts_total', 'Start messages that arrived.'
)
REFUSALS = prometheus_client.Counter(
    'bambooring_agent_refusals_total',
    'Attempts refused as not run, by reason.',
    ['reason'],
)
CALLS_ENDED = prometheus_client.Counter(
    'bambooring_agent_calls_ended_total',
    'Calls to the target that ended, by outcome and reason.',
    ['outcome', 'reason'],
)
RUNNING = prometheus_client.Gauge(
    'bambooring_agent_running', 'Attempts on the target.'
)
QUEUED = prometheus_client.Gauge(
    'bambooring_agent_queued', 'Attempts that wait for a slot.'
)
