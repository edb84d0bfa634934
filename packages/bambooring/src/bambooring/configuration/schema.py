"""Define the schemas of records by kind and schema version."""

import typing

import voluptuous as vol

from bambooring.configuration import const
from bambooring_core import settings

_POSITIVE_INT = vol.All(int, vol.Range(min=1, msg='expected a number from 1'))
_POSITIVE_FLOAT = vol.All(
    vol.Any(int, float, msg='expected a number'),
    vol.Coerce(float),
    vol.Range(min=0, min_included=False, msg='expected more than 0'),
)
_WEIGHT = vol.All(
    vol.Any(int, float, msg='expected a number'),
    vol.Coerce(float),
    vol.Range(min=0.01, max=1000, msg='expected 0.01 to 1000'),
)

_COMMON_FIELDS: dict[typing.Any, typing.Any] = {
    vol.Required(const.ATTR_KIND): str,
    vol.Required(const.ATTR_NAME): settings.check_name,
}

CLIENT_ACCOUNT_V1 = vol.Schema(
    _COMMON_FIELDS
    | {
        vol.Required(const.ATTR_SCHEMA): vol.Equal(1),
        vol.Required(const.CONF_KEY_DIGEST): settings.check_digest,
        vol.Optional(const.CONF_WEIGHT, default=1.0): _WEIGHT,
        vol.Optional(
            const.CONF_MAX_IN_FLIGHT, default=const.DEFAULT_MAX_IN_FLIGHT
        ): _POSITIVE_INT,
    }
)

CLIENT_ACCOUNT_V2 = vol.Schema(
    _COMMON_FIELDS
    | {
        vol.Required(const.ATTR_SCHEMA): vol.Equal(2),
        vol.Required(const.CONF_KEYS): vol.All(
            [
                {
                    vol.Required(const.CONF_DIGEST): settings.check_digest,
                    vol.Optional(const.CONF_LABEL, default=''): str,
                }
            ],
            vol.Length(min=1, msg='expected one key or more'),
        ),
        vol.Optional(const.CONF_WEIGHT, default=1.0): _WEIGHT,
        vol.Optional(const.CONF_PRIORITY, default=0): vol.All(
            int, vol.Range(min=0, max=9, msg='expected 0 to 9')
        ),
        vol.Optional(const.CONF_SERVICES, default=None): vol.Any(
            None, [settings.check_name]
        ),
        vol.Optional(const.CONF_LIMITS, default=dict): {
            vol.Optional(
                const.CONF_IN_FLIGHT, default=const.DEFAULT_MAX_IN_FLIGHT
            ): _POSITIVE_INT,
            vol.Optional(
                const.CONF_REQUESTS_PER_S,
                default=const.DEFAULT_REQUESTS_PER_S,
            ): _POSITIVE_FLOAT,
            vol.Optional(
                const.CONF_BURST, default=const.DEFAULT_BURST
            ): _POSITIVE_INT,
        },
    }
)

_HTTP_METHODS = [
    vol.Match(r'^[A-Z]{3,10}$', msg='expected a method in capitals')
]

SERVICE_V1 = vol.Schema(
    _COMMON_FIELDS
    | {
        vol.Required(const.ATTR_SCHEMA): vol.Equal(1),
        vol.Required(const.CONF_PROTOCOL): vol.In(
            [const.PROTOCOL_CHAT, const.PROTOCOL_HTTP]
        ),
        vol.Optional(
            const.CONF_IDEMPOTENT_METHODS,
            default=list(const.DEFAULT_IDEMPOTENT_METHODS),
        ): _HTTP_METHODS,
        vol.Optional(
            const.CONF_START_WITHIN_S, default=const.DEFAULT_START_WITHIN_S
        ): _POSITIVE_FLOAT,
        vol.Optional(
            const.CONF_END_WITHIN_S, default=const.DEFAULT_END_WITHIN_S
        ): _POSITIVE_FLOAT,
        vol.Optional(
            const.CONF_LONG_TOKENS, default=const.DEFAULT_LONG_TOKENS
        ): _POSITIVE_INT,
    }
)

MODEL_GROUP_V1 = vol.Schema(
    _COMMON_FIELDS
    | {
        vol.Required(const.ATTR_SCHEMA): vol.Equal(1),
        vol.Required(const.CONF_SERVICE): settings.check_name,
        vol.Required(const.CONF_RANKS): _POSITIVE_INT,
        vol.Required(const.CONF_LAYERS): _POSITIVE_INT,
        vol.Required(const.CONF_EXPERTS_PER_LAYER): _POSITIVE_INT,
        vol.Required(const.CONF_SLOTS_PER_RANK): _POSITIVE_INT,
        vol.Optional(const.CONF_MOVES_PER_S, default=1.0): _POSITIVE_FLOAT,
        vol.Optional(const.CONF_ENGINE_HOLDS_STEP, default=True): bool,
        vol.Optional(const.CONF_ENGINE_CHECKS_FENCING, default=False): bool,
    }
)

SCHEMAS: dict[str, dict[int, vol.Schema]] = {
    const.KIND_CLIENT_ACCOUNT: {1: CLIENT_ACCOUNT_V1, 2: CLIENT_ACCOUNT_V2},
    const.KIND_SERVICE: {1: SERVICE_V1},
    const.KIND_MODEL_GROUP: {1: MODEL_GROUP_V1},
}
