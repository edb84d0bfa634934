"""Call the operators' API of the control replicas."""

import collections.abc
import io
import itertools
import json
import pathlib
import time
import typing
import urllib.parse

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
            vol.Length(min=1, msg='expected at least one server'),
        ),
        vol.Required(CONF_KEY_FILE): str,
    }
)


def read_settings(path: pathlib.Path) -> dict[str, typing.Any]:
    """Read and validate the settings of an operator.

    :param path: the settings file
    :returns: the settings
    :raises SettingsError: if the file can't be read or is not valid
    """
    return settings.check(settings.read_file(path), OPERATOR_SCHEMA, path)


class Client:
    """Client of the operators' API; it tries the control replicas in turn."""

    def __init__(self, servers: list[str], key: str) -> None:
        self._servers = servers
        self._key = key

    def list_records(self) -> dict[str, typing.Any]:
        """Return all records and the newest revision.

        :raises ResponseError: if the call is refused
        :raises UnreachableError: if no control replica responds
        """
        return self._call_any_server('GET', const.PATH_RECORDS)

    def get_status(self) -> dict[str, typing.Any]:
        """Return the cluster's status.

        It is that of the first replica that knows the leader; if none does,
        that of the last replica that responded.

        :raises ResponseError: if the call is refused
        :raises UnreachableError: if no control replica responds
        """
        status = {}
        for server in self._servers:
            try:
                status = self._call_server(server, 'GET', const.PATH_STATUS)
            except errors.UnreachableError:
                continue
            if status.get('leader'):
                return status
        if not status:
            raise errors.UnreachableError('no control replica responds')
        return status

    def order_leave(self, target_id: str) -> dict[str, typing.Any]:
        """Order a target to drain and then to end.

        :raises ResponseError: if the call is refused
        :raises UnreachableError: if no control replica responds
        """
        return self._call_any_server(
            'POST', f'{const.PATH_TARGETS}{target_id}/leave'
        )

    def send_change(
        self,
        change_id: str,
        differences: list[declarations.Difference],
        timeout_s: float = const.CHANGE_TIMEOUT_S,
    ) -> dict[str, typing.Any]:
        """Send a change, and resend it until its outcome is known.

        Every attempt carries the same id, so that the change is applied only
        once. The servers are tried in turn.

        :param change_id: id that makes the change idempotent
        :param differences: the records to change
        :param timeout_s: how long to resend it, in seconds
        :returns: the response, with the outcome
        :raises ResponseError: if the call is refused
        :raises UnreachableError: if the outcome is not known in time
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
        return self._resend(
            'POST', const.PATH_CHANGES, body, timeout_s, f'change {change_id}'
        )

    def order_evacuation(
        self, domain: str, *, is_withdrawn: bool
    ) -> dict[str, typing.Any]:
        """Evacuate a failure domain, or withdraw its evacuation.

        The order is resent until its outcome is known; a repeated one changes
        nothing.

        :param domain: the failure domain
        :param is_withdrawn: whether to withdraw the evacuation
        :returns: the response, with the outcome
        :raises ResponseError: if the call is refused
        :raises UnreachableError: if the outcome is not known in time
        """
        return self._resend(
            'DELETE' if is_withdrawn else 'POST',
            const.PATH_EVACUATIONS + urllib.parse.quote(domain, safe=''),
            b'',
            const.EVACUATION_TIMEOUT_S,
            f'evacuation of {domain}',
        )

    def _resend(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        description: str,
    ) -> dict[str, typing.Any]:
        """Make a call at one replica after the other until one answers it."""
        deadline = time.monotonic() + timeout_s
        for server in itertools.cycle(self._servers):
            try:
                return self._call_server(server, method, path, body)
            except errors.ResponseError as error:
                if error.status != 503:
                    raise
            except errors.UnreachableError:
                pass
            if time.monotonic() > deadline:
                break
            time.sleep(const.POLL_INTERVAL_S)
        raise errors.UnreachableError(f'{description}: outcome unknown')

    def poll_lagging_instances(
        self, revision: int, timeout_s: float
    ) -> collections.abc.Iterator[list[str]]:
        """Yield the names of instances where a revision is not in force yet.

        Polls the status until the list is empty or the time is up; the last
        list is yielded too.

        :param revision: the revision that is to be in force
        :param timeout_s: how long to poll, in seconds
        """
        deadline = time.monotonic() + timeout_s
        while True:
            status = self.get_status()
            lagging_instances = [
                report['instance']
                for report in status['instances']
                if report['in_force'] < revision
            ]
            yield lagging_instances
            if not lagging_instances or time.monotonic() > deadline:
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
        raise errors.UnreachableError('no control replica responds')

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
        raise errors.ResponseError(status, 'response is not JSON') from error
    if status in (200, 202) or 'outcome' in value:
        return value
    error_value = value.get('error', {})
    reason = error_value.get('detail') or error_value.get('reason', 'unknown')
    raise errors.ResponseError(status, reason)
