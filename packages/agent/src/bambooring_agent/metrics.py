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
PERMIT_REQUESTS = prometheus_client.Counter(
    'bambooring_agent_permit_requests_total',
    'Requests for permits to send to the cold target, by outcome.',
    ['outcome'],
)
PERMITS_GRANTED = prometheus_client.Counter(
    'bambooring_agent_permits_granted_total',
    'Permits granted to send one request each to the cold target.',
)
UNSENT_GRANTS = prometheus_client.Counter(
    'bambooring_agent_grants_unsent_total',
    'Grants of permits that could not be sent, by error number.',
    ['reason'],
)
