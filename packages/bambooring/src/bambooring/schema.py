"""Define and check the settings of entry instances and control replicas."""

import pathlib
import typing

import voluptuous as vol

from bambooring import const
from bambooring_core import const as core_const
from bambooring_core import errors
from bambooring_core import settings

_POSITIVE_INT = vol.All(
    int, vol.Range(min=1, msg='expected an integer of at least 1')
)

_COMMON_SETTINGS: dict[typing.Any, typing.Any] = {
    vol.Required(const.CONF_SCHEMA): vol.Equal(1),
    vol.Required(const.CONF_ROLE): vol.In(
        [core_const.ROLE_ENTRY, core_const.ROLE_CONTROL]
    ),
    vol.Required(const.CONF_CLUSTER): settings.check_name,
    vol.Required(const.CONF_INSTANCE): settings.check_name,
    vol.Required(const.CONF_FAILURE_DOMAIN): settings.check_name,
    vol.Required(const.CONF_KEY_FILE): str,
    vol.Optional(const.CONF_LOG_LEVEL, default='info'): vol.In(
        ['debug', 'info', 'warning', 'error']
    ),
}

ENTRY_SCHEMA = vol.Schema(
    _COMMON_SETTINGS
    | {
        vol.Required(const.CONF_LISTEN): {
            vol.Required(const.CONF_CALLERS): settings.check_address,
            vol.Required(const.CONF_PEERS): settings.check_address,
            vol.Required(const.CONF_OPERATORS): settings.check_address,
        },
        vol.Required(const.CONF_CONTROL): [settings.check_address],
        vol.Optional(const.CONF_PEERS, default=list): [settings.check_address],
        vol.Optional(
            const.CONF_MAX_RUNNING, default=const.DEFAULT_MAX_RUNNING
        ): _POSITIVE_INT,
        vol.Optional(
            const.CONF_MAX_BODY_BYTES, default=const.DEFAULT_MAX_BODY_BYTES
        ): _POSITIVE_INT,
        vol.Optional(
            const.CONF_MEMORY_MB, default=const.DEFAULT_MEMORY_MB
        ): vol.All(int, vol.Range(min=0)),
        vol.Optional(
            const.CONF_LEAVE_GRACE_S, default=const.DEFAULT_LEAVE_GRACE_S
        ): vol.All(vol.Coerce(float), vol.Range(min=0, max=600)),
    }
)

CONTROL_SCHEMA = vol.Schema(
    _COMMON_SETTINGS
    | {
        vol.Required(const.CONF_LISTEN): {
            vol.Required(const.CONF_PEERS): settings.check_address,
            vol.Required(const.CONF_OPERATORS): settings.check_address,
        },
        vol.Required(const.CONF_DATA_FOLDER): str,
        vol.Required(const.CONF_REPLICAS): {
            settings.check_name: settings.check_address
        },
        vol.Required(const.CONF_OPERATOR_KEYS): vol.All(
            [settings.check_digest],
            vol.Length(min=1, msg='expected at least one digest'),
        ),
    }
)

_SCHEMAS_BY_ROLE = {
    core_const.ROLE_ENTRY: ENTRY_SCHEMA,
    core_const.ROLE_CONTROL: CONTROL_SCHEMA,
}


def read_settings(path: pathlib.Path) -> dict[str, typing.Any]:
    """Read and check an instance's settings.

    :param path: the settings file
    :returns: the settings with defaults filled in
    :raises SettingsError: if they are invalid
    """
    value = settings.read_file(path)
    if not isinstance(value, dict):
        raise errors.SettingsError(f'{path}: (top): expected an object')
    schema = _SCHEMAS_BY_ROLE.get(
        str(value.get(const.CONF_ROLE)), ENTRY_SCHEMA
    )
    checked = settings.check(value, schema, path)
    if checked[const.CONF_ROLE] == core_const.ROLE_CONTROL:
        _check_replicas(checked, path)
    return checked


def _check_replicas(
    checked: dict[str, typing.Any], path: pathlib.Path
) -> None:
    replicas = checked[const.CONF_REPLICAS]
    if checked[const.CONF_INSTANCE] not in replicas:
        raise errors.SettingsError(
            f'{path}: {const.CONF_REPLICAS}: expected it to list this instance'
        )
    if len(replicas) % 2 == 0:
        raise errors.SettingsError(
            f'{path}: {const.CONF_REPLICAS}: expected an odd number of replicas'
        )
