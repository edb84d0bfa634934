"""Call the engine through one curl multi handle."""

import collections
import collections.abc
import selectors
import types
import typing

import pycurl

from bambooring_agent.engine import const
from bambooring_agent.engine import messages
from bambooring_agent.engine import state
from bambooring_core.dispatch import messages as dispatch
from bambooring_core import reactor as reactor_module

CompletionCallback = collections.abc.Callable[[int], None]

_EVENTS = {
    pycurl.POLL_IN: selectors.EVENT_READ,
    pycurl.POLL_OUT: selectors.EVENT_WRITE,
    pycurl.POLL_INOUT: selectors.EVENT_READ | selectors.EVENT_WRITE,
}


class CurlEngineClient:
    """The engine client of a running agent.

    curl tells it which sockets and which timeout to wait for; the reactor
    waits, so that all calls share its thread. Handles are reused.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        url: str,
        health_path: str | None,
        listener: messages.EngineListener,
    ) -> None:
        self._reactor = reactor
        self._url = url
        self._health_path = health_path
        self._listener = listener
        self._multi = pycurl.CurlMulti()
        self._calls: dict[int, pycurl.Curl] = {}
        self._callbacks: dict[pycurl.Curl, CompletionCallback] = {}
        self._idle_handles: collections.deque[pycurl.Curl] = (
            collections.deque()
        )
        self._timer: reactor_module.Timer | None = None
        self._health_failures = 0

    def __enter__(self) -> typing.Self:
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, const.MAX_CONNECTIONS)
        if self._health_path is not None:
            self._start_health_check()
            self._reactor.call_every(
                const.HEALTH_INTERVAL_S, self._start_health_check
            )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for handle in list(self._callbacks):
            self._multi.remove_handle(handle)
            handle.close()
        self._callbacks.clear()
        self._multi.close()

    def call(self, start: dispatch.Start) -> None:
        """Send an attempt's request to the engine.

        :param start: the attempt
        """
        handle = self._get_handle()
        response = state.Response(is_chat=start.is_chat)
        self._configure_request(handle, start)
        handle.setopt(
            pycurl.HEADERFUNCTION,
            self._make_header_reader(start.attempt, response),
        )
        handle.setopt(
            pycurl.WRITEFUNCTION,
            self._make_body_reader(start.attempt, response),
        )
        self._calls[start.attempt] = handle
        self._start_transfer(
            handle,
            lambda curl_code: self._handle_call_end(
                start.attempt, response, curl_code
            ),
        )

    def abort(self, attempt_id: int) -> None:
        """Abort a call without reporting its end.

        The engine sees its connection close.

        :param attempt_id: the attempt; one without a call is ignored
        """
        handle = self._calls.pop(attempt_id, None)
        if handle is None:
            return
        del self._callbacks[handle]
        self._multi.remove_handle(handle)
        handle.close()

    def _get_handle(self) -> pycurl.Curl:
        if not self._idle_handles:
            return pycurl.Curl()
        handle = self._idle_handles.pop()
        handle.reset()
        return handle

    def _configure_request(
        self, handle: pycurl.Curl, start: dispatch.Start
    ) -> None:
        handle.setopt(pycurl.URL, self._url + start.path)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PATH_AS_IS, 1)
        handle.setopt(
            pycurl.CONNECTTIMEOUT_MS, int(const.CONNECT_TIMEOUT_S * 1000)
        )
        handle.setopt(
            pycurl.TIMEOUT_MS, max(1, int(start.end_within_s * 1000))
        )
        if start.body or start.method in ('POST', 'PUT', 'PATCH'):
            handle.setopt(pycurl.POSTFIELDS, start.body)
        if start.method == 'HEAD':
            handle.setopt(pycurl.NOBODY, 1)
        handle.setopt(pycurl.CUSTOMREQUEST, start.method)
        header_lines = [
            f'{header.name}: {header.value}' for header in start.headers
        ]
        header_lines += ['Expect:', f'X-Request-Id: {start.request_id}']
        if start.priority:
            header_lines.append(f'X-Request-Priority: {start.priority}')
        handle.setopt(pycurl.HTTPHEADER, header_lines)
        # On a kept connection a late second answer would be taken for that of
        # the next request, and curl resends a request by itself if the
        # connection turns out to be closed.
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)

    def _make_header_reader(
        self, attempt_id: int, response: state.Response
    ) -> collections.abc.Callable[[bytes], int | None]:
        def read_header_line(header_line: bytes) -> int | None:
            if response.add_header_line(header_line):
                self._listener.handle_response_head(
                    attempt_id, response.status, response.headers
                )
            # Fewer bytes than given make curl abort the transfer.
            return None if response.has_valid_status else 0

        return read_header_line

    def _make_body_reader(
        self, attempt_id: int, response: state.Response
    ) -> collections.abc.Callable[[bytes], int | None]:
        def read_body(data: bytes) -> int | None:
            response.add_body(data)
            if self._listener.handle_response_data(attempt_id, data):
                return None
            # Fewer bytes than given make curl abort the transfer.
            return 0

        return read_body

    def _handle_call_end(
        self, attempt_id: int, response: state.Response, curl_code: int
    ) -> None:
        self._calls.pop(attempt_id, None)
        result = response.classify_end(curl_code)
        self._listener.handle_call_end(
            attempt_id, result.outcome, result.reason
        )

    def _start_transfer(
        self, handle: pycurl.Curl, callback: CompletionCallback
    ) -> None:
        self._callbacks[handle] = callback
        self._multi.add_handle(handle)

    def _watch_socket(
        self,
        poll_action: int,
        descriptor: int,
        multi: pycurl.CurlMulti,
        data: object,
    ) -> None:
        if poll_action == pycurl.POLL_REMOVE:
            self._reactor.unwatch(descriptor)
            return
        self._reactor.watch(
            descriptor,
            _EVENTS[poll_action],
            lambda events: self._handle_socket_event(descriptor, events),
        )

    def _set_timer(self, delay_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_ms >= 0:
            self._timer = self._reactor.call_later(
                delay_ms / 1000, self._handle_timeout
            )

    def _handle_socket_event(self, descriptor: int, events: int) -> None:
        mask = 0
        if events & selectors.EVENT_READ:
            mask |= pycurl.CSELECT_IN
        if events & selectors.EVENT_WRITE:
            mask |= pycurl.CSELECT_OUT
        self._multi.socket_action(descriptor, mask)
        self._complete_ended_transfers()

    def _handle_timeout(self) -> None:
        self._timer = None
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._complete_ended_transfers()

    def _complete_ended_transfers(self) -> None:
        """Run the callbacks of all transfers that have ended."""
        remaining = 1
        while remaining:
            remaining, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._complete_transfer(handle, pycurl.E_OK)
            for handle, curl_code, _ in failed:
                self._complete_transfer(handle, curl_code)

    def _complete_transfer(self, handle: pycurl.Curl, curl_code: int) -> None:
        callback = self._callbacks.pop(handle)
        self._multi.remove_handle(handle)
        callback(curl_code)
        if len(self._idle_handles) < const.MAX_IDLE_HANDLES:
            self._idle_handles.append(handle)
        else:
            handle.close()

    def _start_health_check(self) -> None:
        handle = self._get_handle()
        handle.setopt(pycurl.URL, f'{self._url}{self._health_path}')
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TIMEOUT_MS, int(const.HEALTH_TIMEOUT_S * 1000))
        handle.setopt(pycurl.WRITEFUNCTION, lambda data: None)
        self._start_transfer(
            handle,
            lambda curl_code: self._handle_health_result(handle, curl_code),
        )

    def _handle_health_result(
        self, handle: pycurl.Curl, curl_code: int
    ) -> None:
        is_healthy = (
            curl_code == pycurl.E_OK
            and handle.getinfo(pycurl.RESPONSE_CODE) == 200
        )
        self._health_failures = 0 if is_healthy else self._health_failures + 1
        if is_healthy:
            self._listener.handle_health_change(True)
        elif self._health_failures >= const.UNHEALTHY_AFTER_FAILURES:
            self._listener.handle_health_change(False)
