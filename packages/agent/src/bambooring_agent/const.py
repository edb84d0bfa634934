"""Define the keys and defaults of the agent's settings."""

import typing

CONF_ENTRIES: typing.Final = 'entries'
CONF_CLUSTER: typing.Final = 'cluster'
CONF_ENGINE: typing.Final = 'engine'
CONF_FAILURE_DOMAIN: typing.Final = 'failure_domain'
CONF_HEALTH_PATH: typing.Final = 'health_path'
CONF_KEY_FILE: typing.Final = 'cluster_key_file'
CONF_LEAVE_GRACE_S: typing.Final = 'leave_grace_s'
CONF_LISTEN: typing.Final = 'listen'
CONF_LOG_LEVEL: typing.Final = 'log_level'
CONF_LONG_SLOTS: typing.Final = 'long_slots'
CONF_OPERATORS: typing.Final = 'operators'
CONF_PEERS: typing.Final = 'peers'
CONF_PROTOCOL: typing.Final = 'protocol'
CONF_QUEUE_LIMIT: typing.Final = 'queue_limit'
CONF_SCHEMA: typing.Final = 'schema'
CONF_SERVICE: typing.Final = 'service'
CONF_SLOTS: typing.Final = 'slots'
CONF_TARGET: typing.Final = 'target'
CONF_URL: typing.Final = 'url'

DEFAULT_HEALTH_PATH: typing.Final = '/health'
DEFAULT_LEAVE_GRACE_S: typing.Final = 1.0
DEFAULT_LONG_SLOTS: typing.Final = 8
DEFAULT_QUEUE_LIMIT: typing.Final = 256
DEFAULT_SLOTS: typing.Final = 32

PROTOCOL_CHAT: typing.Final = 'chat'
PROTOCOL_HTTP: typing.Final = 'http'

FLUSH_INTERVAL_S: typing.Final = 0.002
LOAD_REPORT_INTERVAL_S: typing.Final = 0.5
TICK_INTERVAL_S: typing.Final = 0.1
OPERATOR_THREADS: typing.Final = 4
