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
        return self._call('GET', const.PATH_RECORDS)

    def describe(self) -> dict[str, typing.Any]:
        """Return the status, from a replica that knows a leader."""
        status = {}
        for server in self._servers:
            try:
                status = self._call_one(server, 'GET', const.PATH_STATUS)
            except errors.UnreachableError:
                continue
            if status.get('leader'):
                return status
        if not status:
            raise errors.UnreachableError('no control replica answers')
        return status

    def leave(self, target: str) -> dict[str, typing.Any]:
        """Order a target to leave."""
        return self._call('POST', f'{const.PATH_TARGETS}{target}/leave')

    def change(
        self,
        change: str,
        differences: list[declarations.Difference],
        keep_trying_s: float = const.RESEND_FOR_S,
    ) -> dict[str, typing.Any]:
        """Send a change until it is answered; the same id each time.

        :param change: the change's id
        :param differences: the edits
        :param keep_trying_s: how long to send it again
        :returns: the answer
        :raises RefusedError: if it is refused
        :raises UnreachableError: if its outcome is not known
        """
        edits = [
            {
                'kind': item.kind,
                'name': item.name,
                'expected': item.expected,
                'content': item.content,
            }
            for item in differences
        ]
        body = json.dumps({'change': change, 'edits': edits}).encode()
        deadline = time.monotonic() + keep_trying_s
        for server in itertools.cycle(self._servers):
            try:
                return self._call_one(server, 'POST', const.PATH_CHANGES, body)
            except errors.RefusedError as error:
                if error.status != 503:
                    raise
            except errors.UnreachableError:
                pass
            if time.monotonic() > deadline:
                break
            time.sleep(const.POLL_INTERVAL_S)
        raise errors.UnreachableError(f'change {change}: outcome unknown')

    def wait_in_force(
        self, revision: int, timeout_s: float
    ) -> collections.abc.Iterator[list[str]]:
        """Yield the instances that lag until there are none.

        :param revision: the revision to wait for
        :param timeout_s: how long to wait
        """
        deadline = time.monotonic() + timeout_s
        while True:
            status = self.describe()
            lagging = [
                item['instance']
                for item in status['instances']
                if item['in_force'] < revision
            ]
            yield lagging
            if not lagging or time.monotonic() > deadline:
                return
            time.sleep(const.POLL_INTERVAL_S)

    def _call(
        self, method: str, path: str, body: bytes = b''
    ) -> dict[str, typing.Any]:
        for server in self._servers:
            try:
                return self._call_one(server, method, path, body)
            except errors.UnreachableError:
                continue
        raise errors.UnreachableError('no control replica answers')

    def _call_one(
        self, server: str, method: str, path: str, body: bytes = b''
    ) -> dict[str, typing.Any]:
        handle = pycurl.Curl()
        answer = io.BytesIO()
        handle.setopt(pycurl.URL, server + path)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(
            pycurl.CONNECTTIMEOUT_MS, int(const.CONNECT_TIMEOUT_S * 1000)
        )
        handle.setopt(pycurl.TIMEOUT_MS, int(const.HTTP_TIMEOUT_S * 1000))
        handle.setopt(
            pycurl.HTTPHEADER, [f'Authorization: Bearer {self._key}']
        )
        handle.setopt(pycurl.WRITEDATA, answer)
        if body:
            handle.setopt(pycurl.POSTFIELDS, body)
        try:
            handle.perform()
            status = handle.getinfo(pycurl.RESPONSE_CODE)
        except pycurl.error as error:
            raise errors.UnreachableError(f'{server}: {error}') from error
        finally:
            handle.close()
        return _read_answer(status, answer.getvalue())


def _read_answer(status: int, data: bytes) -> dict[str, typing.Any]:
    try:
        value = json.loads(data)
    except ValueError as error:
        raise errors.RefusedError(status, 'no JSON') from error
    if status in (200, 202) or 'outcome' in value:
        return value
    refusal = value.get('error', {})
    reason = refusal.get('detail') or refusal.get('reason', 'unknown')
    raise errors.RefusedError(status, reason)
