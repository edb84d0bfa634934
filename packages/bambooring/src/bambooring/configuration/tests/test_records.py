"""Test the parsing of records of several schema versions."""

import json
import pathlib

import pytest

from bambooring.configuration import errors
from bambooring.configuration import records
from bambooring.operators import declarations

EXAMPLES = pathlib.Path(__file__).parents[6] / 'examples'


def test_old_account_is_upgraded():
    """A client account of schema 1 becomes an object of the newest one."""
    content = {
        'kind': 'client_account',
        'name': 'mill',
        'schema': 1,
        'key_digest': 'a' * 64,
        'max_in_flight': 7,
    }
    account = records.parse(json.dumps(content).encode())
    assert account.keys == (records.AccountKey(digest='a' * 64),)
    assert account.limits.in_flight == 7


def test_unknown_schema_version_is_not_invalid():
    """A record of a newer schema version is unknown rather than invalid."""
    content = {'kind': 'service', 'name': 'mill', 'schema': 99}
    with pytest.raises(errors.UnknownSchemaError):
        records.parse(json.dumps(content).encode())


def test_unknown_key_is_an_error():
    """A record with a key that its schema doesn't know is invalid."""
    content = {
        'kind': 'service',
        'name': 'mill',
        'schema': 1,
        'protocol': 'chat',
        'colour': 'red',
    }
    with pytest.raises(errors.InvalidRecordError, match='colour'):
        records.parse(json.dumps(content).encode())


@pytest.mark.parametrize('name', ['mandal', 'holmgaard'])
def test_examples_are_complete(name):
    """Both example deployments declare all records, in both schemas."""
    declared = declarations.read_folder(EXAMPLES / name)
    kinds = [kind for kind, _ in declared]
    assert kinds.count('service') == 2
    assert kinds.count('client_account') == 10
    assert kinds.count('model_group') == 1
    versions = {
        record['schema']
        for (kind, _), record in declared.items()
        if kind == 'client_account'
    }
    assert versions == {1, 2}
