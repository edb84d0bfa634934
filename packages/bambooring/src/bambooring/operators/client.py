"""Call the control replicas' API."""

import collections.abc
import io
import itertools
import json
import pathlib
import time
import typing

import pycurl
import voluptuous as vol

from bambooring.operators import const
from bambooring.operators import declarations
from bambooring.operators import errors
from bambooring_core import settings

CONF_KEY_FILE = 'key_file'
CONF_SERVERS = 'servers'

OPERATOR_SCHEMA = vol.Schema(
    {
        vol.Required(CONF_SERVERS): vol.All(
            [
                vol.Match(
                    r'^http://\d{1,3}(\.\d{1,3}){3}:\d+$',
                    msg='expected http://IP:PORT',
                )
            ],
            vol.Length(min=1, msg='expected one server or more'),
        ),
        vol.Required(CONF_KEY_FILE): str,
    }
)


def read_settings(path: pathlib.Path) -> dict[str, typing.Any]:
    """Read and check an operator's settings.

    :param path: the settings file
    :returns: the settings
    :raises SettingsError: if they can't be used
    """
    return settings.check(settings.read_file(path), OPERATOR_SCHEMA, path)


class Client:
    """Call whichever control replica answers."""

    def __init__(self, servers: list[str], key: str) -> None:
        self._servers = servers
        self._key = key

    def list_records(self) -> dict[str, typing.Any]:
        """Return the records and the revision."""
        return self._call_any_server('GET', const.PATH_RECORDS)

    def get_status(self) -> dict[str, typing.Any]:
        """Return the status, from a replica that knows a leader."""
        status = {}
        for server in self._servers:
            try:
                status = self._call_server(server, 'GET', const.PATH_STATUS)
            except errors.UnreachableError:
                continue
            if status.get('leader'):
                return status
        if not status:
            raise errors.UnreachableError('no control replica answers')
        return status

    def order_leave(self, target_id: str) -> dict[str, typing.Any]:
        """Order a target to leave."""
        return self._call_any_server(
            'POST', f'{const.PATH_TARGETS}{target_id}/leave'
        )

    def send_change(
        self,
        change_id: str,
        differences: list[declarations.Difference],
        timeout_s: float = const.CHANGE_TIMEOUT_S,
    ) -> dict[str, typing.Any]:
        """Send a change until it is answered; the same id each time.

        :param change_id: the change's id
        :param differences: the edits
        :param timeout_s: how long to send it again
        :returns: the answer
        :raises ResponseError: if it is refused
        :raises UnreachableError: if its outcome is not known
        """
        edits = [
            {
                'kind': difference.kind,
                'name': difference.name,
                'expected': difference.expected,
                'content': difference.content,
            }
            for difference in differences
        ]
        body = json.dumps({'change': change_id, 'edits': edits}).encode()
        deadline = time.monotonic() + timeout_s
        for server in itertools.cycle(self._servers):
            try:
                return self._call_server(
                    server, 'POST', const.PATH_CHANGES, body
                )
            except errors.ResponseError as error:
                if error.status != 503:
                    raise
            except errors.UnreachableError:
                pass
            if time.monotonic() > deadline:
                break
            time.sleep(const.POLL_INTERVAL_S)
        raise errors.UnreachableError(f'change {change_id}: outcome unknown')

    def poll_lagging_instances(
        self, revision: int, timeout_s: float
    ) -> collections.abc.Iterator[list[str]]:
        """Yield the instances that lag until there are none.

        :param revision: the revision to wait for
        :param timeout_s: how long to wait
        """
        deadline = time.monotonic() + timeout_s
        while True:
            status = self.get_status()
            lagging = [
                report['instance']
                for report in status['instances']
                if report['in_force'] < revision
            ]
            yield lagging
            if not lagging or time.monotonic() > deadline:
                return
            time.sleep(const.POLL_INTERVAL_S)

    def _call_any_server(
        self, method: str, path: str, body: bytes = b''
    ) -> dict[str, typing.Any]:
        for server in self._servers:
            try:
                return self._call_server(server, method, path, body)
            except errors.UnreachableError:
                continue
        raise errors.UnreachableError('no control replica answers')

    def _call_server(
        self, server: str, method: str, path: str, body: bytes = b''
    ) -> dict[str, typing.Any]:
        handle = pycurl.Curl()
        response_body = io.BytesIO()
        handle.setopt(pycurl.URL, server + path)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(
            pycurl.CONNECTTIMEOUT_MS, int(const.CONNECT_TIMEOUT_S * 1000)
        )
        handle.setopt(pycurl.TIMEOUT_MS, int(const.HTTP_TIMEOUT_S * 1000))
        handle.setopt(
            pycurl.HTTPHEADER, [f'Authorization: Bearer {self._key}']
        )
        handle.setopt(pycurl.WRITEDATA, response_body)
        if body:
            handle.setopt(pycurl.POSTFIELDS, body)
        try:
            handle.perform()
            status = handle.getinfo(pycurl.RESPONSE_CODE)
        except pycurl.error as error:
            raise errors.UnreachableError(f'{server}: {error}') from error
        finally:
            handle.close()
        return _parse_response(status, response_body.getvalue())


def _parse_response(status: int, body: bytes) -> dict[str, typing.Any]:
    try:
        value = json.loads(body)
    except ValueError as error:
        raise errors.ResponseError(status, 'no JSON') from error
    if status in (200, 202) or 'outcome' in value:
        return value
    error_value = value.get('error', {})
    reason = error_value.get('detail') or error_value.get('reason', 'unknown')
    raise errors.ResponseError(status, reason)
