"""Find errors and contradictions in declared records."""

import collections.abc
import typing

from bambooring.configuration import const as configuration_const
from bambooring.configuration import records
from bambooring.review import const
from bambooring.review import messages
from bambooring.review import report

Findings = collections.abc.Iterator[messages.Finding]


def review(
    parsed_records: collections.abc.Collection[typing.Any],
    max_running_by_instance: collections.abc.Mapping[str, int] | None = None,
) -> Findings:
    """Yield what contradicts itself in a complete set of records.

    :param parsed_records: all records, of the newest schema version
    :param max_running_by_instance: how many requests each entry instance
        runs at once, as far as it is known
    """
    accounts = [
        record
        for record in parsed_records
        if isinstance(record, records.ClientAccount)
    ]
    services = {
        record.name: record
        for record in parsed_records
        if isinstance(record, records.Service)
    }
    for service in services.values():
        yield from _review_service(service, accounts)
    for record in parsed_records:
        if isinstance(record, records.ModelGroup):
            yield from _review_group(record, services)
    yield from _review_digests(accounts)
    for account in accounts:
        yield from _review_services(account, services)
        yield from _review_limits(account)
    if max_running_by_instance:
        yield from _review_capacity(
            accounts,
            len(max_running_by_instance),
            sum(max_running_by_instance.values()),
        )


def _review_service(
    service: records.Service, accounts: list[records.ClientAccount]
) -> Findings:
    entry = f'{configuration_const.KIND_SERVICE} {service.name}'
    if service.start_within_s > service.end_within_s:
        yield report.warn(
            'start_above_end',
            entry,
            f'start within {service.start_within_s:g} s, but end within'
            f' {service.end_within_s:g} s',
        )
    if accounts and not any(
        account.services is None or service.name in account.services
        for account in accounts
    ):
        yield report.warn('service_unused', entry, 'no account may use it')


def _review_group(
    group: records.ModelGroup,
    services: collections.abc.Mapping[str, records.Service],
) -> Findings:
    entry = f'{configuration_const.KIND_MODEL_GROUP} {group.name}'
    if group.service not in services:
        yield report.warn(
            'unknown_service', entry, f'no service {group.service}'
        )
    slot_count = group.ranks * group.slots_per_rank
    if slot_count < group.experts_per_layer:
        yield report.warn(
            'too_few_slots',
            entry,
            f'{group.experts_per_layer} experts in a layer, but its ranks'
            f' have {slot_count} slots',
        )


def _review_digests(accounts: list[records.ClientAccount]) -> Findings:
    owners: dict[str, str] = {}
    for account in accounts:
        for key in account.keys:
            owner = owners.setdefault(key.digest, account.name)
            if owner != account.name:
                yield report.warn(
                    'shared_key',
                    _name_account(account),
                    f'a key digest of account {owner}: only one of them gets'
                    ' the requests',
                )


def _review_services(
    account: records.ClientAccount,
    services: collections.abc.Mapping[str, records.Service],
) -> Findings:
    if account.services is None:
        return
    entry = _name_account(account)
    unknown = account.services - services.keys()
    if unknown:
        yield report.warn(
            'unknown_service',
            entry,
            f'no service {report.join_names(unknown)}',
        )
    if not account.services & services.keys():
        yield report.warn(
            'no_usable_service', entry, 'there is no service that it may use'
        )


def _review_limits(account: records.ClientAccount) -> Findings:
    limits = account.limits
    if limits.burst < limits.requests_per_s * const.MIN_BURST_S:
        yield report.warn(
            'burst_below_rate',
            _name_account(account),
            f'{limits.requests_per_s:g} requests/s need a burst of as many,'
            f' not {limits.burst}: tokens of longer pauses are lost',
        )


def _review_capacity(
    accounts: list[records.ClientAccount], instance_count: int, capacity: int
) -> Findings:
    """Yield limits that the entry instances' own limits don't allow."""
    # There may be settings of only some instances.
    instances = f'the entry instances with settings here ({instance_count})'
    for account in accounts:
        if account.limits.in_flight > capacity:
            yield report.warn(
                'in_flight_above_capacity',
                _name_account(account),
                f'{account.limits.in_flight} requests in flight, but'
                f' {instances} run {capacity}',
            )
    total = sum(account.limits.in_flight for account in accounts)
    if total > capacity:
        yield report.note(
            'in_flight_overcommitted',
            'accounts',
            f'{total} requests in flight in all, but {instances} run'
            f' {capacity}',
        )


def _name_account(account: records.ClientAccount) -> str:
    return f'{configuration_const.KIND_CLIENT_ACCOUNT} {account.name}'
