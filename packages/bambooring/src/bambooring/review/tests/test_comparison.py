"""Test what differs from the policy in force."""

import pytest

from bambooring.policy import messages as policy
from bambooring.review import comparison


def _make_policy(version=2, accounts=(), max_body_bytes=1):
    return policy.Policy(
        version=version,
        routes=[],
        services=[],
        accounts=[
            policy.Account(name=name, keys=keys, priority=priority)
            for name, keys, priority in accounts
        ],
        limits=policy.CallerLimits(
            max_header_bytes=1,
            max_body_bytes=max_body_bytes,
            header_timeout_s=1,
            idle_timeout_s=1,
        ),
    )


def _compare(checked, in_force, has_same_content=False):
    return list(
        comparison.compare_policies(
            checked, in_force, has_same_content=has_same_content
        )
    )


@pytest.mark.parametrize(
    'version, has_same_content, expected',
    [
        (3, False, []),
        (2, True, ['note version_in_force']),
        (2, False, ['error version_conflict']),
        (1, False, ['error version_superseded']),
    ],
)
def test_version(version, has_same_content, expected):
    """A version that isn't higher is sent without effect."""
    findings = _compare(
        _make_policy(version), _make_policy(2), has_same_content
    )
    assert [f'{found.severity} {found.code}' for found in findings] == expected


def test_changed_entries():
    """An entry that is lost or changed by mistake goes unnoticed."""
    findings = _compare(
        _make_policy(3, [('a', [], 1), ('b', [], 1)], max_body_bytes=2),
        _make_policy(2, [('a', [], 0), ('c', [], 1)]),
    )
    assert [(found.entry, found.code, found.fields) for found in findings] == [
        ('account a', 'changed', ('priority',)),
        ('account b', 'added', ()),
        ('account c', 'removed', ()),
        ('limits', 'changed', ('max_body_bytes',)),
    ]


def test_keys_stay_secret():
    """Keys end up in the log of whatever runs the check."""
    (finding,) = _compare(
        _make_policy(3, [('a', ['new-key'], 0)]),
        _make_policy(2, [('a', ['old-key'], 0)]),
    )
    assert finding.fields == ('keys',)
    assert '-key' not in finding.text
