"""Define intervals, timeouts and limits of gateway processes."""

import typing

# How often an entry instance requests a lease: proof that its policy is the
# newest.
LEASE_REQUEST_INTERVAL_S: typing.Final = 0.8

# Lease requests that a control replica receives within this time share one
# Consult command in the replicated log.
LEASE_BATCH_DELAY_S: typing.Final = 0.1
CONSULT_TIMEOUT_S: typing.Final = 1.5

# Share of the bound on revoked keys (Settings.revoke_s) that a lease may
# last. The rest covers the time from the check of the lease to the arrival
# of the request at the target.
LEASE_DURATION_SHARE: typing.Final = 0.9

PUBLISH_TIMEOUT_S: typing.Final = 3.0
READ_TIMEOUT_S: typing.Final = 2.0

# How often a control replica sends on heartbeats that changed nothing, many
# in one message, and checks whether the topology has changed.
UPDATE_INTERVAL_S: typing.Final = 0.6

# How long the response to a leaving target waits until the entry instances
# have confirmed that they know of it.
CONFIRMATION_TIMEOUT_S: typing.Final = 0.4

EXPIRY_INTERVAL_S: typing.Final = 0.5

# How long a stopping entry instance goes on accepting connections. It is
# taken out of rotation after two failed readiness checks, one second apart;
# until then new connections arrive.
STOP_ACCEPT_S: typing.Final = 2.6

# A stopping entry instance closes connections that have been idle this long.
# It does so before the process ends, so that no request is sent on a
# connection while it is being closed.
STOP_IDLE_TIMEOUT_S: typing.Final = 0.3

# Requests that still run this long before the process is killed are
# stopped.
STOP_RESERVE_S: typing.Final = 0.7

# A stopping process ends at the latest this long before it is killed.
STOP_KILL_MARGIN_S: typing.Final = 0.2

# Share of the permitted retries that all entry instances together may use.
# It is below 1 because each instance counts its retries by itself.
RETRY_BUDGET_SHARE: typing.Final = 0.5

# After the last answers of a stopping process, callers have this long to read
# them before their connections are closed.
STOP_LINGER_S: typing.Final = 0.2

# A stopping control replica takes calls for this long if they keep coming. It
# refuses the later ones and ends once the earlier ones are answered.
STOP_CALLS_TIMEOUT_S: typing.Final = 2.0
STOP_CALLS_INTERVAL_S: typing.Final = 0.02

# A control replica gives those of an entry instance's own failure domain this
# long to send it a new policy before it sends one itself.
POLICY_BACKUP_DELAY_S: typing.Final = 0.3

# How often an entry instance logs which targets became cold or warm, one line
# each at most, and counts what became of the permits it asked for.
PERMIT_LOG_INTERVAL_S: typing.Final = 0.25

# Share of a control replica's descriptors that is for links. All entry
# instances, agents and other replicas link to it: 144 links at a deployment
# with 72 entry instances, 67 targets and a limit of 1,535 descriptors.
LINKS_DESCRIPTORS_SHARE: typing.Final = 0.5
