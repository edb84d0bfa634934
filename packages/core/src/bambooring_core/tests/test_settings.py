"""Test that settings errors name the file, the line and the key path."""

import pytest
import voluptuous

from bambooring_core import errors
from bambooring_core import settings

SCHEMA = voluptuous.Schema(
    {
        'listen': {
            voluptuous.Required('peers'): settings.check_address,
        },
        'name': settings.check_name,
    }
)


def _check(tmp_path, text):
    path = tmp_path / 'entry.json5'
    path.write_text(text)
    return settings.check(settings.read_file(path), SCHEMA, path)


def test_comments_are_read(tmp_path):
    """Comments in a settings file are allowed."""
    text = '{\n// where\nlisten: {peers: "10.0.0.1:7000"}}'
    assert _check(tmp_path, text)['listen']['peers'] == '10.0.0.1:7000'


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (
            '{\n  name: "a",\n  listen: {\n    peers: "nowhere",\n  },\n}',
            'entry.json5:4: listen.peers: expected IP:PORT',
        ),
        ('{\n  nam: "a",\n}', 'entry.json5:2: nam: extra keys not allowed'),
        ('{\n  name: [,\n}', 'entry.json5:2:'),
        ('{name: "A B"}', 'name: expected a name'),
    ],
)
def test_error_names_file_line_and_key(tmp_path, text, expected):
    """An error names the file, line, key path and expected value."""
    with pytest.raises(errors.SettingsError) as error_info:
        _check(tmp_path, text)
    assert expected in str(error_info.value)
