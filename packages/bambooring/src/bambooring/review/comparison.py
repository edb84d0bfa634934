"""Find what differs between a configuration and the version in force."""

import collections.abc
import dataclasses
import typing

from bambooring.policy import messages as policy
from bambooring.review import messages
from bambooring.review import report

Findings = collections.abc.Iterator[messages.Finding]

# Values of these fields are secrets.
_SECRET_FIELDS: typing.Final = frozenset(['keys'])


def compare_policies(
    checked: policy.Policy, in_force: policy.Policy, *, has_same_content: bool
) -> Findings:
    """Yield the differences of a policy from the one in force.

    :param checked: the policy
    :param in_force: the policy in force
    :param has_same_content: whether the digests of their documents are equal
    """
    yield from _compare_versions(checked, in_force, has_same_content)
    for kind, entries, entries_in_force in (
        ('route', checked.routes, in_force.routes),
        ('service', checked.services, in_force.services),
        ('account', checked.accounts, in_force.accounts),
    ):
        yield from compare_entries(
            kind,
            {entry.name: _get_fields(entry) for entry in entries},
            {entry.name: _get_fields(entry) for entry in entries_in_force},
        )
    changed = _find_changed_fields(
        _get_fields(checked.limits), _get_fields(in_force.limits)
    )
    if changed:
        yield report.note_change('limits', changed)


def _compare_versions(
    checked: policy.Policy, in_force: policy.Policy, has_same_content: bool
) -> Findings:
    entry = f'version {checked.version}'
    if checked.version > in_force.version:
        return
    if checked.version < in_force.version:
        yield report.error(
            'version_superseded',
            entry,
            f'version {in_force.version} is in force',
        )
    elif has_same_content:
        yield report.note('version_in_force', entry, 'it is in force')
    else:
        yield report.error(
            'version_conflict', entry, 'in force with other content'
        )


def compare_entries(
    kind: str,
    entries: collections.abc.Mapping[str, dict[str, typing.Any]],
    entries_in_force: collections.abc.Mapping[str, dict[str, typing.Any]],
) -> Findings:
    """Yield which entries were added, removed or changed.

    :param kind: the kind of the entries
    :param entries: the fields of each entry, by name
    :param entries_in_force: the same of the version in force
    """
    for name, fields in entries.items():
        fields_in_force = entries_in_force.get(name)
        entry = f'{kind} {name}'
        if fields_in_force is None:
            yield report.note('added', entry, 'added')
            continue
        changed = _find_changed_fields(fields, fields_in_force)
        if changed:
            yield report.note_change(entry, changed)
    for name in entries_in_force:
        if name not in entries:
            yield report.note('removed', f'{kind} {name}', 'removed')


def _get_fields(entry: typing.Any) -> dict[str, typing.Any]:
    return dataclasses.asdict(entry)


def _find_changed_fields(
    fields: dict[str, typing.Any], fields_in_force: dict[str, typing.Any]
) -> dict[str, str]:
    """Return a description of each changed field by the field's name."""
    names = sorted(fields.keys() | fields_in_force.keys())
    return {
        name: _describe_change(
            name, fields_in_force.get(name), fields.get(name)
        )
        for name in names
        if fields.get(name) != fields_in_force.get(name)
    }


def _describe_change(name: str, before: typing.Any, after: typing.Any) -> str:
    if name in _SECRET_FIELDS:
        return f'{name}: changed'
    return f'{name}: {before} -> {after}'
