"""Select the log lines of one request from mixed logs."""

import json

from bambooring.operators import explanation


def _write(event, instance='edge-1', **fields):
    line = {'event': event, 'instance': instance, 'timestamp': 't'} | fields
    return f'  12.5 {instance} {json.dumps(line)}\n'


LOG = [
    _write('policy in force', version=3),
    _write('policy in force', version=4),
    _write('policy in force', 'edge-2', version=9),
    'Traceback: no log line\n',
    '{"broken": \n',
    _write('target passed over', target='i-1', reason='reset'),
    _write('request sent to target', request='a', target='i-2'),
    _write('request sent to target', request='b', target='i-2'),
    _write('request ended', request='a', status=504),
    _write('policy in force', version=5),
]


def test_lines_of_request_follow_their_context():
    """The context is the state up to the request's last line, not later."""
    lines = list(explanation.select_lines('a', explanation.parse_lines(LOG)))
    assert [line.event for line in lines] == [
        'policy in force',
        'target passed over',
        'request sent to target',
        'request ended',
    ]
    assert lines[0].fields['version'] == 4
    assert 'status=504' in lines[-1].format()


def test_unknown_request():
    """There are no lines for a request id that is not in the logs."""
    assert not list(
        explanation.select_lines('z', explanation.parse_lines(LOG))
    )
