"""Test the exit codes and the output of `bambooring check`."""

import json

from click import testing
import pytest

from bambooring.operators import client as client_module
from bambooring.operators import commands
from bambooring.operators import errors

GROUP = {
    'kind': 'model_group',
    'name': 'g',
    'schema': 1,
    'service': 'llm',
    'ranks': 4,
    'layers': 2,
    'experts_per_layer': 8,
    'slots_per_rank': 2,
}
SERVICE = {'kind': 'service', 'name': 'llm', 'schema': 1, 'protocol': 'chat'}


def _write(folder, *declarations):
    folder.mkdir(exist_ok=True)
    path = folder / 'records.json5'
    path.write_text(json.dumps(declarations))
    return folder


def _check(*arguments):
    return testing.CliRunner().invoke(
        commands.main, ['check', *map(str, arguments)]
    )


@pytest.mark.parametrize(
    'declarations, code',
    [
        ([SERVICE, GROUP], 0),
        ([GROUP], 1),
        ([SERVICE, SERVICE], 2),
        ([SERVICE | {'protocol': 'ftp'}], 2),
    ],
    ids=['good', 'unknown service', 'declared twice', 'invalid'],
)
def test_exit_code(tmp_path, declarations, code):
    """A script would send what is refused, or stop at what is good."""
    result = _check(_write(tmp_path, *declarations))
    assert result.exit_code == code


def test_invalid_file_hides_findings_of_others(tmp_path):
    """What the invalid file declares would be called missing elsewhere."""
    _write(tmp_path, GROUP)
    (tmp_path / 'services.json5').write_text('[')
    result = _check(tmp_path, '--json')
    findings = json.loads(result.output)['findings']
    assert [finding['code'] for finding in findings] == ['invalid']


def test_settings_beside_declarations(tmp_path):
    """A limit above what the entry instances run would go unnoticed."""
    account = {
        'kind': 'client_account',
        'name': 'a',
        'schema': 1,
        'key_digest': '0' * 64,
        'max_in_flight': 50,
    }
    listen = {'callers': ':1', 'peers': ':2', 'operators': ':3'}
    settings = {
        'schema': 1,
        'role': 'entry',
        'cluster': 'c',
        'instance': 'e-1',
        'failure_domain': 'd-1',
        'cluster_key_file': 'key',
        'listen': {name: f'127.0.0.1{port}' for name, port in listen.items()},
        'control': ['127.0.0.1:4'],
        'max_running': 49,
    }
    (tmp_path / 'entry.json5').write_text(json.dumps(settings))
    result = _check(_write(tmp_path, account, SERVICE), '--json')
    findings = json.loads(result.output)['findings']
    assert 'in_flight_above_capacity' in [
        finding['code'] for finding in findings
    ]


@pytest.mark.parametrize(
    'options, expected',
    [
        ([], [('changed', 'model_group g', ['ranks'])]),
        (
            ['--prune'],
            [
                ('unknown_service', 'model_group g', []),
                ('changed', 'model_group g', ['ranks']),
                ('removed', 'service llm', []),
            ],
        ),
    ],
    ids=['kept', 'pruned'],
)
def test_against_folder(tmp_path, options, expected):
    """Records that stay in force would be called missing or removed."""
    checked = _write(tmp_path / 'new', GROUP | {'ranks': 5})
    in_force = _write(tmp_path / 'old', SERVICE, GROUP)
    result = _check(checked, '--against', in_force, '--json', *options)
    findings = json.loads(result.output)['findings']
    assert [
        (finding['code'], finding['entry'], finding['fields'])
        for finding in findings
    ] == expected


def _write_operator(folder):
    (folder / 'key').write_text('k' * 32)
    path = folder / 'operator.json5'
    path.write_text(
        json.dumps(
            {
                'servers': ['http://127.0.0.1:1'],
                'key_file': str(folder / 'key'),
            }
        )
    )
    return path


def test_against_replicas(tmp_path, monkeypatch):
    """A removed record would be compared as if it were in force."""
    listing = {
        'records': [
            {
                'kind': content['kind'],
                'name': content['name'],
                'content': content,
                'is_deleted': content is GROUP,
            }
            for content in (SERVICE, GROUP)
        ]
    }
    monkeypatch.setattr(
        client_module.Client, 'list_records', lambda self: listing
    )
    folder = _write(tmp_path / 'new', GROUP)
    result = _check(folder, '--operator', _write_operator(tmp_path), '--json')
    value = json.loads(result.output)
    assert value['exit_code'] == result.exit_code == 0
    assert [finding['code'] for finding in value['findings']] == ['added']


def test_unreachable_replicas(tmp_path, monkeypatch):
    """Without the version in force nobody knows what would change."""

    def fail(self):
        raise errors.UnreachableError('no control replica responds')

    monkeypatch.setattr(client_module.Client, 'list_records', fail)
    folder = _write(tmp_path / 'new', SERVICE)
    result = _check(folder, '--operator', _write_operator(tmp_path))
    assert result.exit_code == 2
