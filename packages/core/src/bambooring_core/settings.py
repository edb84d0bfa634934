"""Read settings files in JSON5 and validate them against a schema."""

import hashlib
import pathlib
import re
import typing

import json5
import voluptuous

from bambooring_core import errors

_LINE_NUMBER = re.compile(r':(\d+)')


def read_file(path: pathlib.Path) -> typing.Any:
    """Read a JSON5 file.

    :param path: the file
    :returns: the parsed value
    :raises SettingsError: if it can't be read or parsed
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        match = _LINE_NUMBER.search(str(error))
        line_suffix = f':{match.group(1)}' if match else ''
        raise errors.SettingsError(f'{path}{line_suffix}: {error}') from error


def check(
    value: typing.Any, schema: voluptuous.Schema, path: pathlib.Path
) -> typing.Any:
    """Validate a value against a schema.

    :param value: the parsed value
    :param schema: the expected schema
    :param path: the file of the value, for the error message
    :returns: the value with the schema's defaults
    :raises SettingsError: with the file, line, key path and expected value
    """
    try:
        return schema(value)
    except voluptuous.MultipleInvalid as error:
        lines = [_describe_error(invalid, path) for invalid in error.errors]
        raise errors.SettingsError('\n'.join(lines)) from error


def _describe_error(error: voluptuous.Invalid, path: pathlib.Path) -> str:
    keys = [str(key) for key in error.path]
    line = _find_line(path, keys)
    line_suffix = f':{line}' if line else ''
    return f'{path}{line_suffix}: {".".join(keys) or "(top)"}: {error.msg}'


def _find_line(path: pathlib.Path, keys: list[str]) -> int | None:
    """Find the line of a key path by a text search for its keys in order.

    Keys that the search doesn't find are skipped.

    :returns: the line number, or None for an empty path or a missing file
    """
    if not path.is_file():
        return None
    lines = path.read_text().splitlines()
    line_index = 0
    for key in keys:
        pattern = re.compile(rf'''(^|[\s,{{])["']?{re.escape(key)}["']?\s*:''')
        matching_indexes = (
            index
            for index, line in enumerate(lines[line_index:], line_index)
            if pattern.search(line)
        )
        line_index = next(matching_indexes, line_index)
    return line_index + 1 if keys else None


def check_address(value: typing.Any) -> str:
    """Validate an address of the form 'IP:PORT'."""
    if not isinstance(value, str) or not re.fullmatch(
        r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}', value
    ):
        raise voluptuous.Invalid('expected IP:PORT')
    return value


def check_name(value: typing.Any) -> str:
    """Validate a name of at most 63 characters."""
    if not isinstance(value, str) or not re.fullmatch(
        r'[a-z0-9][a-z0-9._-]{0,62}', value
    ):
        raise voluptuous.Invalid(
            'expected a name of at most 63 characters: a-z, 0-9, ".", "_", "-"'
        )
    return value


def check_digest(value: typing.Any) -> str:
    """Validate a SHA-256 digest in hexadecimal."""
    if not isinstance(value, str) or not re.fullmatch(r'[0-9a-f]{64}', value):
        raise voluptuous.Invalid('expected 64 hexadecimal digits (SHA-256)')
    return value


def compute_digest(secret: str) -> str:
    """Return the SHA-256 digest of a key, as it is written in settings."""
    return hashlib.sha256(secret.encode()).hexdigest()


def read_key(path: pathlib.Path) -> bytes:
    """Read a shared key.

    :param path: the key file
    :returns: the key without surrounding white space
    :raises SettingsError: if the file can't be read or the key is too short
    """
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise errors.SettingsError(f'{path}: {error}') from error
    if len(key) < 16:
        raise errors.SettingsError(
            f'{path}: expected a key of at least 16 bytes'
        )
    return key
