"""Parse records into the objects that entry instances work with.

Each schema version has a class of its own. :func:`upgrade` converts an
older one to the newest, so that records of several versions can be stored
side by side.
"""

import dataclasses
import functools
import json
import pathlib
import typing

from bambooring.configuration import const
from bambooring.configuration import errors
from bambooring.configuration import schema
from bambooring_core import errors as core_errors
from bambooring_core import settings


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ClientAccountV1:
    """Client account of schema 1."""

    name: str
    key_digest: str
    weight: float
    max_in_flight: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AccountKey:
    """Digest of one key of a client account."""

    digest: str
    label: str = ''


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AccountLimits:
    """Limits on the requests of a client account.

    ``in_flight`` bounds the requests in progress; ``requests_per_s`` and
    ``burst`` are the rate and the capacity of a token bucket.
    """

    in_flight: int = const.DEFAULT_MAX_IN_FLIGHT
    requests_per_s: float = const.DEFAULT_REQUESTS_PER_S
    burst: int = const.DEFAULT_BURST


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ClientAccount:
    """Client account; with ``services`` None it may use all services."""

    name: str
    keys: tuple[AccountKey, ...]
    weight: float = 1.0
    priority: int = 0
    services: frozenset[str] | None = None
    limits: AccountLimits = AccountLimits()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """Service that client accounts send requests to.

    A request must start within ``start_within_s`` and end within
    ``end_within_s`` of its arrival. A chat request is long if its prompt or
    its completion has more than ``long_tokens`` tokens.
    """

    name: str
    protocol: str
    idempotent_methods: frozenset[str]
    start_within_s: float
    end_within_s: float
    long_tokens: int

    @property
    def is_chat(self) -> bool:
        """Return whether the service takes chat completion requests."""
        return self.protocol == const.PROTOCOL_CHAT


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ModelGroup:
    """Group of ranks that run a model in lock-step."""

    name: str
    service: str
    ranks: int
    layers: int
    experts_per_layer: int
    slots_per_rank: int
    moves_per_s: float
    engine_holds_step: bool
    engine_checks_fencing: bool


@functools.singledispatch
def upgrade(record: typing.Any) -> typing.Any:
    """Convert a record of any known schema version to the newest.

    :param record: the object of a record
    :returns: the object of the newest schema version
    """
    return record


@upgrade.register
def _upgrade_client_account(record: ClientAccountV1) -> ClientAccount:
    return ClientAccount(
        name=record.name,
        keys=(AccountKey(digest=record.key_digest),),
        weight=record.weight,
        limits=AccountLimits(in_flight=record.max_in_flight),
    )


def check(value: typing.Any, path: pathlib.Path) -> dict[str, typing.Any]:
    """Validate a declared record by its kind and schema version.

    :param value: the declaration
    :param path: where it came from, for error messages
    :returns: the declaration with defaults filled in
    :raises InvalidRecordError: with the file, the path of the key and what
        was expected
    :raises UnknownSchemaError: if the schema version is not known here
    """
    if not isinstance(value, dict):
        raise errors.InvalidRecordError(f'{path}: expected an object')
    versions = schema.SCHEMAS.get(value.get(const.ATTR_KIND, ''))
    if versions is None:
        kinds = ', '.join(sorted(schema.SCHEMAS))
        raise errors.InvalidRecordError(
            f'{path}: {const.ATTR_KIND}: expected one of {kinds}'
        )
    version = value.get(const.ATTR_SCHEMA)
    if not isinstance(version, int) or isinstance(version, bool):
        raise errors.InvalidRecordError(
            f'{path}: {const.ATTR_SCHEMA}: expected a schema version'
        )
    if version not in versions:
        known_versions = ', '.join(str(number) for number in versions)
        raise errors.UnknownSchemaError(
            f'{path}: {const.ATTR_SCHEMA}: expected one of {known_versions}'
        )
    try:
        return settings.check(value, versions[version], path)
    except core_errors.SettingsError as error:
        raise errors.InvalidRecordError(str(error)) from error


def parse(content: bytes) -> typing.Any:
    """Parse the content of a record into an object of the newest schema.

    :param content: the record in JSON
    :returns: a :class:`ClientAccount`, :class:`Service` or
        :class:`ModelGroup`
    :raises InvalidRecordError: if it doesn't match its schema
    :raises UnknownSchemaError: if the schema version is not known here
    """
    try:
        value = json.loads(content)
    except ValueError as error:
        raise errors.InvalidRecordError(str(error)) from error
    checked = check(value, pathlib.Path('record'))
    kind_and_version = (
        checked.pop(const.ATTR_KIND),
        checked.pop(const.ATTR_SCHEMA),
    )
    return upgrade(_BUILDERS[kind_and_version](checked))


def _build_client_account(fields: dict) -> ClientAccount:
    fields[const.CONF_KEYS] = tuple(
        AccountKey(**key) for key in fields[const.CONF_KEYS]
    )
    if fields[const.CONF_SERVICES] is not None:
        fields[const.CONF_SERVICES] = frozenset(fields[const.CONF_SERVICES])
    fields[const.CONF_LIMITS] = AccountLimits(**fields[const.CONF_LIMITS])
    return ClientAccount(**fields)


def _build_service(fields: dict) -> Service:
    methods = frozenset(fields[const.CONF_IDEMPOTENT_METHODS])
    return Service(**(fields | {const.CONF_IDEMPOTENT_METHODS: methods}))


_BUILDERS: dict[tuple[str, int], typing.Any] = {
    (const.KIND_CLIENT_ACCOUNT, 1): lambda fields: ClientAccountV1(**fields),
    (const.KIND_CLIENT_ACCOUNT, 2): _build_client_account,
    (const.KIND_SERVICE, 1): _build_service,
    (const.KIND_MODEL_GROUP, 1): lambda fields: ModelGroup(**fields),
}
