"""Select the log lines of one request from the logs of several processes.

One attempt of a caller is handled by one entry instance, so its lines are in
one log and their order there is right whatever the clock does. If several
instances logged the request, its lines are sorted by timestamp.
"""

import collections.abc
import dataclasses
import json
import typing

# Fields of every line of a request; LogLine.format shows them first or not at
# all.
_COMMON_FIELDS: typing.Final = frozenset(
    ('event', 'level', 'timestamp', 'instance', 'failure_domain', 'request')
)

# Events that show the state of a process. The last event of each kind before
# the request ended is shown as context.
CONTEXT_EVENTS: typing.Final = frozenset(
    (
        'policy in force',
        'control replica lost',
        'lease regained',
        'limit of running requests',
        'target passed over',
        'target rests',
        'target leaves',
        'target checked',
        'target crashed before it answered',
        'crash known',
        'readiness changed',
        'stopping',
        'process started',
    )
)


@dataclasses.dataclass(slots=True, kw_only=True)
class LogLine:
    """One log line of a process.

    ``position`` is its line number in its file, counted from 0; ``fields``
    are all values of its JSON object.
    """

    instance: str
    timestamp: str
    event: str
    position: int
    fields: dict[str, typing.Any]

    def format(self) -> str:
        """Return the timestamp, instance, event and other fields as text."""
        shown_fields = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _COMMON_FIELDS
        )
        return f'{self.timestamp} {self.instance}: {self.event} {shown_fields}'


def parse_lines(
    file_lines: collections.abc.Iterable[str],
) -> collections.abc.Iterator[LogLine]:
    """Parse the log lines of a file and skip all other lines.

    A log line may have a prefix before its JSON object, such as log
    collectors add.

    :param file_lines: the lines of the file
    """
    for position, file_line in enumerate(file_lines):
        json_start = file_line.find('{')
        if json_start < 0:
            continue
        try:
            fields = json.loads(file_line[json_start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and 'event' in fields:
            yield LogLine(
                instance=str(fields.get('instance', '')),
                timestamp=str(fields.get('timestamp', '')),
                event=str(fields['event']),
                position=position,
                fields=fields,
            )


def select_lines(
    request_id: str, lines: collections.abc.Iterable[LogLine]
) -> collections.abc.Iterator[LogLine]:
    """Yield the lines of a request after those that give its context.

    The context is the last known state of its entry instance: the last
    event of each kind in `CONTEXT_EVENTS` before the request's last line.

    :param request_id: the id of the request
    :param lines: the log lines of all files
    :returns: the context lines, then the lines of the request, each in order
    """
    all_lines = list(lines)
    request_lines = [
        line for line in all_lines if line.fields.get('request') == request_id
    ]
    if not request_lines:
        return
    first = request_lines[0]
    yield from _find_context_lines(first, request_lines[-1], all_lines)
    is_one_instance = all(
        line.instance == first.instance for line in request_lines
    )
    if is_one_instance:
        yield from request_lines
        return
    yield from sorted(
        request_lines, key=lambda line: (line.timestamp, line.position)
    )


def _find_context_lines(
    first: LogLine, last: LogLine, lines: list[LogLine]
) -> collections.abc.Iterator[LogLine]:
    """Yield the newest line of each context event up to the last line.

    Events about different targets count as different.

    :param first: the first line of the request; lines of its instance count
    :param last: the last line of the request
    :param lines: the log lines of all files
    """
    newest_lines: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        is_same_instance = line.instance == first.instance
        if is_same_instance and line.event in CONTEXT_EVENTS:
            if line.position <= last.position:
                target_id = str(line.fields.get('target', ''))
                newest_lines[line.event, target_id] = line
    yield from sorted(newest_lines.values(), key=lambda line: line.position)
