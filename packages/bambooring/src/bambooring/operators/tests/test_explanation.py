"""Tell a request's story from mixed logs."""

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


def test_story_in_order_with_its_context():
    """The story holds what the entry knew then, and nothing later."""
    story = list(explanation.select_lines('a', explanation.parse_lines(LOG)))
    assert [line.event for line in story] == [
        'policy in force',
        'target passed over',
        'request sent to target',
        'request ended',
    ]
    assert story[0].fields['version'] == 4
    assert 'status=504' in story[-1].format()


def test_unknown_request():
    """A request that no line names has no story."""
    assert not list(
        explanation.select_lines('z', explanation.parse_lines(LOG))
    )
