"""Define the metrics of entry instances and control replicas."""

import prometheus_client

REFUSALS = prometheus_client.Counter(
    'bambooring_refusals_total',
    'Requests with an error response, by reason and outcome.',
    ['reason', 'outcome'],
)
RETRIES = prometheus_client.Counter(
    'bambooring_retries_total',
    'Attempts made after an earlier one, by reason.',
    ['reason'],
)
REQUESTS = prometheus_client.Counter(
    'bambooring_requests_total',
    'Requests with a complete response, by service.',
    ['service'],
)
RETRIES_DENIED = prometheus_client.Counter(
    'bambooring_retries_denied_total',
    'Attempts not made because the retry budget was spent.',
)
RESUMES = prometheus_client.Counter(
    'bambooring_resumes_total', 'Attempts resumed on a new link.'
)
UNSERVED = prometheus_client.Counter(
    'bambooring_unserved_total',
    'Requests without a response of a target where routes differ in priority,'
    ' by urgency from 0, the most urgent, to 9.',
    ['urgency'],
)
DISPATCH_WAIT_S = prometheus_client.Histogram(
    'bambooring_dispatch_wait_seconds',
    'Time from a request to its attempts where routes differ in priority, by'
    ' urgency.',
    ['urgency'],
    buckets=(0.002, 0.02, 0.1, 0.25, 0.5, 1, 2, 5),
)
SLOTS_LEFT = prometheus_client.Counter(
    'bambooring_slots_left_total',
    'Times that free slots were left to more urgent requests elsewhere.',
)
EJECTIONS = prometheus_client.Counter(
    'bambooring_targets_passed_over_total',
    'Times that a target was sent no new requests for a while, by reason.',
    ['reason'],
)
PEER_EJECTIONS = prometheus_client.Counter(
    'bambooring_targets_suspected_total',
    'Times that the word of other instances ejected a target, or let it '
    'return, by effect.',
    ['effect'],
)
DOMAIN_REQUESTS = prometheus_client.Counter(
    'bambooring_domain_requests_total',
    'Requests sent to targets of the own or another failure domain.',
    ['domain'],
)
LEAVING_SHARE = prometheus_client.Gauge(
    'bambooring_leaving_share',
    'Share of the requests that leaves the own failure domain, by service.',
    ['service'],
)
TARGET_RESTS = prometheus_client.Counter(
    'bambooring_target_rests_total',
    'Responses by which a target asked for a rest.',
)
TARGETS_LEAVING = prometheus_client.Counter(
    'bambooring_targets_leaving_total',
    'Runs of targets that said in a response that they leave.',
)
TARGET_CHECKS = prometheus_client.Counter(
    'bambooring_target_checks_total',
    'Checks whether a target that dropped a request has ended, by outcome.',
    ['outcome'],
)
SUSPECT_PROBES = prometheus_client.Counter(
    'bambooring_suspect_trials_total',
    'Requests sent to find out whether they crash targets.',
)
ANNOUNCEMENTS = prometheus_client.Counter(
    'bambooring_announcements_total',
    'Announcements of targets, by effect.',
    ['effect'],
)
UNSENT_LOAD_REPORTS = prometheus_client.Counter(
    'bambooring_loads_unsent_total',
    'Load reports that could not be sent, by error number.',
    ['reason'],
)
LOAD_DATAGRAMS = prometheus_client.Counter(
    'bambooring_load_datagrams_total',
    'Datagrams received about load, by outcome.',
    ['outcome'],
)
LOAD_DATAGRAM_BYTES = prometheus_client.Counter(
    'bambooring_load_datagram_sent_bytes_total',
    'Bytes of datagrams sent about load, by kind of message.',
    ['kind'],
)
RANK_ORDERS = prometheus_client.Counter(
    'bambooring_rank_orders_total', 'Orders sent to ranks, by kind.', ['kind']
)
RELAYED_RANK_ORDERS = prometheus_client.Counter(
    'bambooring_relayed_rank_orders_total',
    'Orders that another agent sent because the own one was silent, by kind.',
    ['kind'],
)
MAP_SWITCH_EVENTS = prometheus_client.Counter(
    'bambooring_map_switch_events_total',
    'Events of expert map switches.',
    ['event'],
)
RUNNING_REQUESTS = prometheus_client.Gauge(
    'bambooring_running', 'Requests in progress.'
)
FIRST_BYTE_S = prometheus_client.Histogram(
    'bambooring_first_byte_seconds',
    'Time from a request to the first byte of its response.',
    ['service'],
    buckets=(0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.8, 1.1, 2, 5, 10, 30),
)
RESPONSE_S = prometheus_client.Histogram(
    'bambooring_whole_seconds',
    'Time from a request to the end of its response.',
    ['service'],
    buckets=(0.02, 0.1, 0.5, 1, 2, 5, 10, 30, 60, 120, 300),
)
TARGETS = prometheus_client.Gauge(
    'bambooring_targets', 'Targets with a valid lease.'
)
REVISION_HELD = prometheus_client.Gauge(
    'bambooring_configuration_held', 'Configuration revision held.'
)
REVISION_IN_FORCE = prometheus_client.Gauge(
    'bambooring_configuration_in_force', 'Configuration revision in force.'
)
PROPOSALS = prometheus_client.Counter(
    'bambooring_proposals_total',
    'Commands proposed to this replica, by result.',
    ['result'],
)
STORAGE_FAILURES = prometheus_client.Counter(
    'bambooring_storage_failures_total', 'Writes to the disk that failed.'
)
EVACUATED_DOMAINS = prometheus_client.Gauge(
    'bambooring_evacuated_domains',
    'Failure domains whose targets get no requests.',
)
EVACUATION_ORDERS = prometheus_client.Counter(
    'bambooring_evacuation_orders_total',
    'Orders to evacuate a failure domain or to withdraw it, by outcome.',
    ['outcome'],
)
TERM = prometheus_client.Gauge('bambooring_term', 'Current term.')
IS_LEADER = prometheus_client.Gauge(
    'bambooring_is_leader', '1 while this replica is the leader.'
)
PERMITS = prometheus_client.Counter(
    'bambooring_permits_total',
    'Permits to send to cold targets: asked for, granted, refused, used and '
    'expired; and requests for them without an answer.',
    ['outcome'],
)
UNSENT_PERMIT_REQUESTS = prometheus_client.Counter(
    'bambooring_permit_requests_unsent_total',
    'Requests for permits that could not be sent, by error number.',
    ['reason'],
)
