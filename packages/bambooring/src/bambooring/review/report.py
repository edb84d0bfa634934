"""Render findings and derive the exit code from them."""

import collections.abc
import dataclasses
import json

from bambooring.review import const
from bambooring.review import messages


def error(code: str, entry: str, text: str) -> messages.Finding:
    """Return a finding with the severity of an error."""
    return messages.Finding(
        severity=messages.Severity.ERROR, code=code, entry=entry, text=text
    )


def warn(code: str, entry: str, text: str) -> messages.Finding:
    """Return a finding with the severity of a warning."""
    return messages.Finding(
        severity=messages.Severity.WARNING, code=code, entry=entry, text=text
    )


def note(code: str, entry: str, text: str) -> messages.Finding:
    """Return a finding with the severity of a note."""
    return messages.Finding(
        severity=messages.Severity.NOTE, code=code, entry=entry, text=text
    )


def note_change(
    entry: str, texts_by_field: collections.abc.Mapping[str, str]
) -> messages.Finding:
    """Return a note of the changed fields of an entry."""
    return messages.Finding(
        severity=messages.Severity.NOTE,
        code='changed',
        entry=entry,
        text='; '.join(texts_by_field.values()),
        fields=tuple(texts_by_field),
    )


def get_exit_code(
    findings: collections.abc.Collection[messages.Finding],
) -> int:
    """Return 2 if there are errors, 1 if there are warnings, else 0."""
    severities = {finding.severity for finding in findings}
    if messages.Severity.ERROR in severities:
        return const.EXIT_ERRORS
    if messages.Severity.WARNING in severities:
        return const.EXIT_WARNINGS
    return const.EXIT_NO_WARNINGS


def render(finding: messages.Finding) -> str:
    """Return a finding as a line of text."""
    return (
        f'{finding.severity}: {finding.entry}: {finding.text} [{finding.code}]'
    )


def render_json(
    findings: collections.abc.Collection[messages.Finding],
) -> str:
    """Return the findings and the exit code as a JSON object."""
    value = {
        'exit_code': get_exit_code(findings),
        'findings': [dataclasses.asdict(finding) for finding in findings],
    }
    return json.dumps(value, indent=2)


def join_names(names: collections.abc.Iterable[str]) -> str:
    """Return names as a list for a text, cut if it is long."""
    sorted_names = sorted(names)
    listed = ', '.join(sorted_names[: const.MAX_LISTED_NAMES])
    rest = len(sorted_names) - const.MAX_LISTED_NAMES
    return f'{listed} and {rest} more' if rest > 0 else listed
