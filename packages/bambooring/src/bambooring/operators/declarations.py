"""Read a folder of declarations and compare it with the records."""

import dataclasses
import json
import pathlib
import typing

from bambooring.configuration import const as configuration_const
from bambooring.configuration import errors as configuration_errors
from bambooring.configuration import records
from bambooring_core import settings

Key = tuple[str, str]


@dataclasses.dataclass(slots=True, kw_only=True)
class Difference:
    """Hold one record that a change would touch."""

    action: str
    kind: str
    name: str
    expected: int
    content: dict[str, typing.Any] | None


def read_file(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Read the declarations of one file.

    :param path: the file; it holds one declaration or a list
    :returns: the declarations as written
    :raises SettingsError: if the file can't be read
    :raises ConfigurationError: if a declaration is not valid
    """
    value = settings.read_file(path)
    items = value if isinstance(value, list) else [value]
    for item in items:
        records.check(item, path)
    return items


def read_folder(folder: pathlib.Path) -> dict[Key, dict[str, typing.Any]]:
    """Read every declaration below a folder.

    :param folder: the folder
    :returns: the declarations by kind and name
    :raises SettingsError: if a file can't be read
    :raises ConfigurationError: if a declaration is not valid
    """
    found: dict[Key, dict[str, typing.Any]] = {}
    for path in sorted(folder.rglob('*.json5')):
        for item in read_file(path):
            key = (
                item[configuration_const.ATTR_KIND],
                item[configuration_const.ATTR_NAME],
            )
            if key in found:
                raise configuration_errors.InvalidRecordError(
                    f'{path}: {key[0]} {key[1]}: declared twice'
                )
            found[key] = item
    return found


def compare(
    declared: dict[Key, dict[str, typing.Any]],
    listed: list[dict[str, typing.Any]],
    prune: bool,
) -> list[Difference]:
    """Compare declarations with the records in the store.

    :param declared: the declarations
    :param listed: the records as the API lists them
    :param prune: whether records that are not declared are to go
    :returns: what differs
    """
    known = {(item['kind'], item['name']): item for item in listed}
    differences = [
        _make_difference(key, content, known.get(key))
        for key, content in sorted(declared.items())
        if _differs(content, known.get(key))
    ]
    if prune:
        differences += [
            Difference(
                action='remove',
                kind=key[0],
                name=key[1],
                expected=item['number'],
                content=None,
            )
            for key, item in sorted(known.items())
            if key not in declared and not item['is_deleted']
        ]
    return differences


def _differs(
    content: dict[str, typing.Any], record: dict[str, typing.Any] | None
) -> bool:
    if record is None or record['is_deleted']:
        return True
    return json.dumps(content, sort_keys=True) != json.dumps(
        record['content'], sort_keys=True
    )


def _make_difference(
    key: Key,
    content: dict[str, typing.Any],
    record: dict[str, typing.Any] | None,
) -> Difference:
    is_new = record is None or record['is_deleted']
    return Difference(
        action='add' if is_new else 'change',
        kind=key[0],
        name=key[1],
        expected=record['number'] if record else 0,
        content=content,
    )
