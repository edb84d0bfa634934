"""Check the declarations and settings files of a folder."""

import collections.abc
import dataclasses
import json
import pathlib
import typing

from bambooring.configuration import const as configuration_const
from bambooring.configuration import errors as configuration_errors
from bambooring.configuration import records
from bambooring import const as settings_const
from bambooring import errors as server_errors
from bambooring.operators import client as client_module
from bambooring.operators import declarations
from bambooring.review import comparison
from bambooring.review import declarations as declarations_review
from bambooring.review import messages
from bambooring.review import report
from bambooring import schema
from bambooring_core import const as core_const
from bambooring_core import errors as core_errors
from bambooring_core import settings as core_settings

Declarations = dict[declarations.RecordKey, dict[str, typing.Any]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Folder:
    """What could be read below a folder, and what could not.

    ``max_running_by_instance`` has the entry instances whose settings files
    are there.
    """

    declared: Declarations = dataclasses.field(default_factory=dict)
    max_running_by_instance: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    valid_paths: list[pathlib.Path] = dataclasses.field(default_factory=list)
    findings: list[messages.Finding] = dataclasses.field(default_factory=list)


def read_folder(path: pathlib.Path) -> Folder:
    """Read a folder with its subfolders, or a single file.

    :param path: the folder or file
    :returns: its declarations and settings; files that can't be read or are
        not valid are findings
    """
    folder = Folder()
    paths = sorted(path.rglob('*.json5')) if path.is_dir() else [path]
    for file_path in paths:
        try:
            _read_file(file_path, folder)
        except (core_errors.SettingsError, server_errors.ServerError) as error:
            folder.findings.append(
                report.error('invalid', str(file_path), str(error))
            )
        else:
            folder.valid_paths.append(file_path)
    return folder


def _read_file(path: pathlib.Path, folder: Folder) -> None:
    """Read a file as settings or declarations, depending on its keys."""
    value = core_settings.read_file(path)
    if isinstance(value, dict) and settings_const.CONF_ROLE in value:
        settings = schema.read_settings(path)
        if settings[settings_const.CONF_ROLE] == core_const.ROLE_ENTRY:
            folder.max_running_by_instance[
                settings[settings_const.CONF_INSTANCE]
            ] = settings[settings_const.CONF_MAX_RUNNING]
    elif isinstance(value, dict) and client_module.CONF_SERVERS in value:
        client_module.read_settings(path)
    else:
        declarations.add_file(path, folder.declared)


def convert_records(
    listed_records: collections.abc.Iterable[dict[str, typing.Any]],
) -> Declarations:
    """Return the records in force, as the API lists them, as declarations."""
    return {
        (record['kind'], record['name']): record['content']
        for record in listed_records
        if not record['is_deleted']
    }


def review(
    folder: Folder, in_force: Declarations | None, *, prune: bool
) -> collections.abc.Iterator[messages.Finding]:
    """Yield all findings of a folder.

    :param folder: the folder
    :param in_force: the declarations in force, None if they aren't known
    :param prune: whether those that are not in the folder will be removed
    """
    if folder.findings:
        # What the invalid files declare would be called missing.
        yield from folder.findings
        return
    kept = {} if prune or in_force is None else in_force
    result = kept | folder.declared
    yield from declarations_review.review(
        list(_parse(result.values())), folder.max_running_by_instance
    )
    if in_force is None:
        return
    for kind in sorted({key[0] for key in [*result, *in_force]}):
        yield from comparison.compare_entries(
            kind, _select(result, kind), _select(in_force, kind)
        )


def _parse(
    contents: collections.abc.Iterable[dict[str, typing.Any]],
) -> collections.abc.Iterator[typing.Any]:
    for content in contents:
        try:
            yield records.parse(json.dumps(content).encode())
        except configuration_errors.UnknownSchemaError:
            # Only what is in force can be of a later release.
            continue


def _select(
    declared: Declarations, kind: str
) -> dict[str, dict[str, typing.Any]]:
    return {
        name: {
            field: value
            for field, value in declared[record_kind, name].items()
            if field
            not in (
                configuration_const.ATTR_KIND,
                configuration_const.ATTR_NAME,
            )
        }
        for record_kind, name in sorted(declared)
        if record_kind == kind
    }
