"""Declare the services and client accounts of the simulated cluster."""

import json

from bambooring.configuration import messages as configuration
from bambooring_core import settings

CHAT_SERVICE = 'rota-llm'
HTTP_SERVICE = 'rota-app'
API_KEYS = ('key-of-account-one', 'key-of-account-two')


def make_edit(content: dict, expected: int) -> configuration.Edit:
    """Return the edit that a declaration asks for."""
    return configuration.Edit(
        kind=content['kind'],
        name=content['name'],
        expected=expected,
        content=json.dumps(content).encode(),
    )


def make_initial_edits() -> list[configuration.Edit]:
    """Return the first configuration."""
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
    return [make_edit(content, 0) for content in services + accounts]
