"""Read the declarations in a folder and compare them with the records.

A declaration is a record as an operator wrote it, in a JSON5 file.
"""

import dataclasses
import json
import pathlib
import typing

from bambooring.configuration import const as configuration_const
from bambooring.configuration import errors as configuration_errors
from bambooring.configuration import records
from bambooring_core import settings

# Kind and name of a record.
RecordKey = tuple[str, str]


@dataclasses.dataclass(slots=True, kw_only=True)
class Difference:
    """Record to add, change or remove to match the declarations.

    ``action`` is ``add``, ``change`` or ``remove``. ``expected`` is the
    number of the record's current version, 0 if there is none. ``content``
    is its declaration, None if it is to be removed.
    """

    action: str
    kind: str
    name: str
    expected: int
    content: dict[str, typing.Any] | None


def read_file(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Read and validate the declarations of one file.

    :param path: the file, with one declaration or a list of them
    :returns: the declarations as written, without defaults
    :raises SettingsError: if the file can't be read
    :raises ConfigurationError: if a declaration is not valid
    """
    value = settings.read_file(path)
    declarations = value if isinstance(value, list) else [value]
    for declaration in declarations:
        records.check(declaration, path)
    return declarations


def read_folder(
    folder: pathlib.Path,
) -> dict[RecordKey, dict[str, typing.Any]]:
    """Read every declaration in a folder and its subfolders.

    :param folder: the folder
    :returns: the declarations by kind and name
    :raises SettingsError: if a file can't be read
    :raises ConfigurationError: if a declaration is not valid, or two have
        the same kind and name
    """
    declarations: dict[RecordKey, dict[str, typing.Any]] = {}
    for path in sorted(folder.rglob('*.json5')):
        add_file(path, declarations)
    return declarations


def add_file(
    path: pathlib.Path,
    declarations: dict[RecordKey, dict[str, typing.Any]],
) -> None:
    """Read the declarations of one file and add them to others.

    :param path: the file
    :param declarations: the declarations by kind and name, to be extended
    :raises SettingsError: if the file can't be read
    :raises ConfigurationError: if a declaration is not valid, or has the
        kind and name of another one
    """
    for declaration in read_file(path):
        key = (
            declaration[configuration_const.ATTR_KIND],
            declaration[configuration_const.ATTR_NAME],
        )
        if key in declarations:
            raise configuration_errors.InvalidRecordError(
                f'{path}: {key[0]} {key[1]}: declared twice'
            )
        declarations[key] = declaration


def compare(
    declared: dict[RecordKey, dict[str, typing.Any]],
    listed_records: list[dict[str, typing.Any]],
    prune: bool,
) -> list[Difference]:
    """Compare declarations with the records in the store.

    :param declared: the declarations by kind and name
    :param listed_records: the records as the API lists them
    :param prune: whether to remove records that are not declared
    :returns: the differences, sorted by kind and name, removals last
    """
    records_by_key = {
        (record['kind'], record['name']): record for record in listed_records
    }
    differences = [
        _make_difference(key, content, records_by_key.get(key))
        for key, content in sorted(declared.items())
        if _differs(content, records_by_key.get(key))
    ]
    if prune:
        differences += [
            Difference(
                action='remove',
                kind=key[0],
                name=key[1],
                expected=record['number'],
                content=None,
            )
            for key, record in sorted(records_by_key.items())
            if key not in declared and not record['is_deleted']
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
    key: RecordKey,
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
