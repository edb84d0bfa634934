"""Define settings keys, their defaults, and thread counts and intervals."""

import typing

CONF_CALLERS: typing.Final = 'callers'
CONF_CLUSTER: typing.Final = 'cluster'
CONF_CONTROL: typing.Final = 'control'
CONF_DATA_FOLDER: typing.Final = 'data_folder'
CONF_FAILURE_DOMAIN: typing.Final = 'failure_domain'
CONF_INSTANCE: typing.Final = 'instance'
CONF_KEY_FILE: typing.Final = 'cluster_key_file'
CONF_LEAVE_GRACE_S: typing.Final = 'leave_grace_s'
CONF_LISTEN: typing.Final = 'listen'
CONF_LOG_LEVEL: typing.Final = 'log_level'
CONF_MAX_BODY_BYTES: typing.Final = 'max_body_bytes'
CONF_MAX_RUNNING: typing.Final = 'max_running'
CONF_MEMORY_MB: typing.Final = 'memory_mb'
CONF_OPERATORS: typing.Final = 'operators'
CONF_OPERATOR_KEYS: typing.Final = 'operator_key_digests'
CONF_PEERS: typing.Final = 'peers'
CONF_REPLICAS: typing.Final = 'replicas'
CONF_ROLE: typing.Final = 'role'
CONF_SCHEMA: typing.Final = 'schema'

DEFAULT_LEAVE_GRACE_S: typing.Final = 5.0
DEFAULT_MAX_BODY_BYTES: typing.Final = 4 * 1024 * 1024
DEFAULT_MAX_RUNNING: typing.Final = 320
# Without a limit.
DEFAULT_MEMORY_MB: typing.Final = 0

# Threads beyond max_running, for the requests over it that are refused.
REFUSAL_THREADS: typing.Final = 32
OPERATOR_THREADS: typing.Final = 4
BYTES_PER_MB: typing.Final = 1024 * 1024
REPORT_INTERVAL_S: typing.Final = 1.0
TICK_INTERVAL_S: typing.Final = 0.05
