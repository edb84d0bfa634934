"""Define and check the settings of an agent."""

import pathlib
import typing

import voluptuous as vol

from bambooring_agent import const
from bambooring_core import settings

_POSITIVE_INT = vol.All(
    int, vol.Range(min=1, msg='expected an integer of at least 1')
)
_NON_NEGATIVE_INT = vol.All(
    int, vol.Range(min=0, msg='expected an integer of at least 0')
)

ENGINE_SCHEMA = vol.Schema(
    {
        vol.Required(const.CONF_URL): vol.Match(
            r'^http://\d{1,3}(\.\d{1,3}){3}:\d+$',
            msg='expected http://IP:PORT',
        ),
        vol.Required(const.CONF_PROTOCOL): vol.In(
            [const.PROTOCOL_CHAT, const.PROTOCOL_HTTP]
        ),
        vol.Optional(
            const.CONF_HEALTH_PATH, default=const.DEFAULT_HEALTH_PATH
        ): vol.Any(str, None),
        vol.Optional(
            const.CONF_SLOTS, default=const.DEFAULT_SLOTS
        ): _POSITIVE_INT,
        vol.Optional(
            const.CONF_LONG_SLOTS, default=const.DEFAULT_LONG_SLOTS
        ): _POSITIVE_INT,
        vol.Optional(
            const.CONF_QUEUE_LIMIT, default=const.DEFAULT_QUEUE_LIMIT
        ): _NON_NEGATIVE_INT,
    }
)

SETTINGS_SCHEMA = vol.Schema(
    {
        vol.Required(const.CONF_SCHEMA): vol.Equal(1),
        vol.Required(const.CONF_CLUSTER): settings.check_name,
        vol.Required(const.CONF_TARGET): settings.check_name,
        vol.Required(const.CONF_SERVICE): settings.check_name,
        vol.Required(const.CONF_FAILURE_DOMAIN): settings.check_name,
        vol.Required(const.CONF_KEY_FILE): str,
        vol.Required(const.CONF_LISTEN): {
            vol.Required(const.CONF_PEERS): settings.check_address,
            vol.Required(const.CONF_OPERATORS): settings.check_address,
        },
        vol.Required(const.CONF_ENTRIES): vol.All(
            [settings.check_address],
            vol.Length(min=1, msg='expected at least one address'),
        ),
        vol.Required(const.CONF_ENGINE): ENGINE_SCHEMA,
        vol.Optional(
            const.CONF_LEAVE_GRACE_S, default=const.DEFAULT_LEAVE_GRACE_S
        ): vol.All(vol.Coerce(float), vol.Range(min=0, max=2)),
        vol.Optional(const.CONF_LOG_LEVEL, default='info'): vol.In(
            ['debug', 'info', 'warning', 'error']
        ),
    }
)


def read_settings(path: pathlib.Path) -> dict[str, typing.Any]:
    """Read and check the settings of an agent.

    :param path: the settings file
    :returns: the settings, with the defaults of missing keys
    :raises SettingsError: if the file can't be read or a setting is invalid
    """
    return settings.check(settings.read_file(path), SETTINGS_SCHEMA, path)
