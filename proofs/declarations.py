"""Build the configuration of the simulated cluster."""

import json

from bambooring.configuration import messages as configuration
from bambooring_core import settings

CHAT_SERVICE = 'rota-llm'
HTTP_SERVICE = 'rota-app'
API_KEYS = ('key-of-account-one', 'key-of-account-two')


def make_edit(declaration: dict, expected: int) -> configuration.Edit:
    """Return the edit that creates or updates a declared record.

    :param declaration: the record as an operator writes it
    :param expected: the number of its current version, 0 if it is new
    """
    return configuration.Edit(
        kind=declaration['kind'],
        name=declaration['name'],
        expected=expected,
        content=json.dumps(declaration).encode(),
    )


def make_initial_edits() -> list[configuration.Edit]:
    """Return the edits that create the services and client accounts."""
    services = [
        {
            'kind': 'service',
            'name': CHAT_SERVICE,
            'schema': 1,
            'protocol': 'chat',
            'end_within_s': 30,
            'start_within_s': 5,
        },
        {
            'kind': 'service',
            'name': HTTP_SERVICE,
            'schema': 1,
            'protocol': 'http',
            'end_within_s': 15,
            'start_within_s': 5,
        },
    ]
    accounts = [
        {
            'kind': 'client_account',
            'name': f'account-{index}',
            'schema': 2,
            'keys': [{'digest': settings.compute_digest(key)}],
            'limits': {
                'in_flight': 1000,
                'requests_per_s': 1000,
                'burst': 1000,
            },
        }
        for index, key in enumerate(API_KEYS, 1)
    ]
    return [make_edit(declaration, 0) for declaration in services + accounts]
