"""Define the keys of records, their default values and the limits."""

import typing

KIND_CLIENT_ACCOUNT: typing.Final = 'client_account'
KIND_MODEL_GROUP: typing.Final = 'model_group'
KIND_SERVICE: typing.Final = 'service'

ATTR_KIND: typing.Final = 'kind'
ATTR_NAME: typing.Final = 'name'
ATTR_SCHEMA: typing.Final = 'schema'

CONF_BURST: typing.Final = 'burst'
CONF_DIGEST: typing.Final = 'digest'
CONF_ENGINE_HOLDS_STEP: typing.Final = 'engine_holds_step'
CONF_ENGINE_CHECKS_FENCING: typing.Final = 'engine_checks_fencing'
CONF_END_WITHIN_S: typing.Final = 'end_within_s'
CONF_EXPERTS_PER_LAYER: typing.Final = 'experts_per_layer'
CONF_IDEMPOTENT_METHODS: typing.Final = 'idempotent_methods'
CONF_IN_FLIGHT: typing.Final = 'in_flight'
CONF_KEY_DIGEST: typing.Final = 'key_digest'
CONF_KEYS: typing.Final = 'keys'
CONF_LABEL: typing.Final = 'label'
CONF_LAYERS: typing.Final = 'layers'
CONF_LIMITS: typing.Final = 'limits'
CONF_LONG_TOKENS: typing.Final = 'long_tokens'
CONF_MAX_IN_FLIGHT: typing.Final = 'max_in_flight'
CONF_MOVES_PER_S: typing.Final = 'moves_per_s'
CONF_PRIORITY: typing.Final = 'priority'
CONF_PROTOCOL: typing.Final = 'protocol'
CONF_RANKS: typing.Final = 'ranks'
CONF_REQUESTS_PER_S: typing.Final = 'requests_per_s'
CONF_SERVICE: typing.Final = 'service'
CONF_SERVICES: typing.Final = 'services'
CONF_SLOTS_PER_RANK: typing.Final = 'slots_per_rank'
CONF_START_WITHIN_S: typing.Final = 'start_within_s'
CONF_WEIGHT: typing.Final = 'weight'

DEFAULT_BURST: typing.Final = 50
DEFAULT_END_WITHIN_S: typing.Final = 120.0
DEFAULT_IDEMPOTENT_METHODS: typing.Final = (
    'GET',
    'HEAD',
    'OPTIONS',
    'PUT',
    'DELETE',
)
DEFAULT_MAX_IN_FLIGHT: typing.Final = 100
DEFAULT_LONG_TOKENS: typing.Final = 2000
DEFAULT_REQUESTS_PER_S: typing.Final = 50.0
DEFAULT_START_WITHIN_S: typing.Final = 5.0

PROTOCOL_CHAT: typing.Final = 'chat'
PROTOCOL_HTTP: typing.Final = 'http'

# Answers kept by a control replica, to be repeated if a change is resent.
MAX_REMEMBERED_ANSWERS: typing.Final = 10_000
MAX_CONTENT_BYTES: typing.Final = 64 * 1024
MAX_EDITS: typing.Final = 2000
# Time that a starting entry instance gives further sources to send records
# after the first one has.
READY_DELAY_S: typing.Final = 1.0
