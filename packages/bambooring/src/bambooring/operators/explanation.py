"""Put one request's log lines of several processes into order.

One attempt of a caller belongs to one entry instance, so its lines stand in
one log and keep their order there, whatever the clock does; lines of other
instances are placed by their timestamps.
"""

import collections.abc
import dataclasses
import json
import typing

# Fields that every line has, shown apart or not at all.
_COMMON_FIELDS: typing.Final = frozenset(
    ('event', 'level', 'timestamp', 'instance', 'failure_domain', 'request')
)

# Events that tell the state a process was in, shown when they are the last
# of their kind before the request ended.
CONTEXT_EVENTS: typing.Final = frozenset(
    (
        'policy in force',
        'control replica lost',
        'lease regained',
        'limit of running requests',
        'target passed over',
        'readiness changed',
        'stopping',
        'process started',
    )
)


@dataclasses.dataclass(slots=True, kw_only=True)
class LogLine:
    """Hold one log line; ``position`` is its place in its file."""

    instance: str
    timestamp: str
    event: str
    position: int
    fields: dict[str, typing.Any]

    def format(self) -> str:
        """Return the line for a reader."""
        shown = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _COMMON_FIELDS
        )
        return f'{self.timestamp} {self.instance}: {self.event} {shown}'


def parse_lines(
    file_lines: collections.abc.Iterable[str],
) -> collections.abc.Iterator[LogLine]:
    """Yield the log lines in a file; anything else in it is left out.

    A line may have a prefix before its JSON object, as log collectors add.

    :param file_lines: the file's lines
    """
    for position, file_line in enumerate(file_lines):
        start = file_line.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(file_line[start:])
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
    """Yield a request's lines, and what its entry instance last knew.

    :param request_id: the request's id
    :param lines: the lines of all files
    :returns: context lines first, then the request's own, in order
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
    """Yield the last line of each kind of state before the end."""
    newest_lines: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        is_same_instance = line.instance == first.instance
        if is_same_instance and line.event in CONTEXT_EVENTS:
            if line.position <= last.position:
                subject = str(line.fields.get('target', ''))
                newest_lines[line.event, subject] = line
    yield from sorted(newest_lines.values(), key=lambda line: line.position)
