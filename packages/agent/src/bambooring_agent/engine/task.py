"""Drive all calls to the target with one curl multi handle."""

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

Finish = collections.abc.Callable[[int], None]

_EVENTS = {
    pycurl.POLL_IN: selectors.EVENT_READ,
    pycurl.POLL_OUT: selectors.EVENT_WRITE,
    pycurl.POLL_INOUT: selectors.EVENT_READ | selectors.EVENT_WRITE,
}


class Engine:
    """Own the connections to the target."""

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        url: str,
        health_path: str | None,
        sink: messages.Sink,
    ) -> None:
        self._reactor = reactor
        self._url = url
        self._health_path = health_path
        self._sink = sink
        self._multi = pycurl.CurlMulti()
        self._calls: dict[int, pycurl.Curl] = {}
        self._finish: dict[pycurl.Curl, Finish] = {}
        self._idle: collections.deque[pycurl.Curl] = collections.deque()
        self._timer: reactor_module.Timer | None = None
        self._failures = 0

    def __enter__(self) -> typing.Self:
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, const.MAX_CONNECTIONS)
        if self._health_path is not None:
            self._check_health()
            self._reactor.call_every(
                const.HEALTH_INTERVAL_S, self._check_health
            )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for handle in list(self._finish):
            self._multi.remove_handle(handle)
            handle.close()
        self._finish.clear()
        self._multi.close()

    def call(self, start: dispatch.Start) -> None:
        """Send an attempt's request to the target.

        :param start: the attempt
        """
        handle = self._get_handle()
        response = state.Response(is_chat=start.is_chat)
        self._set_request(handle, start)
        handle.setopt(
            pycurl.HEADERFUNCTION,
            self._make_header_reader(start.attempt, response),
        )
        handle.setopt(
            pycurl.WRITEFUNCTION,
            self._make_body_reader(start.attempt, response),
        )
        self._calls[start.attempt] = handle
        self._add(
            handle,
            lambda code: self._end_call(start.attempt, response, code),
        )

    def abort(self, attempt: int) -> None:
        """End a call; the target sees its connection close.

        :param attempt: the attempt
        """
        handle = self._calls.pop(attempt, None)
        if handle is None:
            return
        del self._finish[handle]
        self._multi.remove_handle(handle)
        handle.close()

    def _get_handle(self) -> pycurl.Curl:
        if not self._idle:
            return pycurl.Curl()
        handle = self._idle.pop()
        handle.reset()
        return handle

    def _set_request(self, handle: pycurl.Curl, start: dispatch.Start) -> None:
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
        lines = [f'{item.name}: {item.value}' for item in start.headers]
        lines += ['Expect:', f'X-Request-Id: {start.request_id}']
        if start.priority:
            lines.append(f'X-Request-Priority: {start.priority}')
        handle.setopt(pycurl.HTTPHEADER, lines)
        if start.kind is dispatch.Kind.BOOKING:
            # The library resends a request by itself when a kept-alive
            # connection turns out dead; a booking must not be resent.
            handle.setopt(pycurl.FRESH_CONNECT, 1)
            handle.setopt(pycurl.FORBID_REUSE, 1)

    def _make_header_reader(
        self, attempt: int, response: state.Response
    ) -> collections.abc.Callable[[bytes], None]:
        def read_line(line: bytes) -> None:
            if response.add_line(line):
                self._sink.call_opened(
                    attempt, response.status, response.headers
                )

        return read_line

    def _make_body_reader(
        self, attempt: int, response: state.Response
    ) -> collections.abc.Callable[[bytes], int | None]:
        def read_body(data: bytes) -> int | None:
            response.add_body(data)
            if self._sink.call_output(attempt, data):
                return None
            return 0

        return read_body

    def _end_call(
        self, attempt: int, response: state.Response, code: int
    ) -> None:
        self._calls.pop(attempt, None)
        verdict = response.judge(code)
        self._sink.call_ended(attempt, verdict.outcome, verdict.reason)

    def _add(self, handle: pycurl.Curl, finish: Finish) -> None:
        self._finish[handle] = finish
        self._multi.add_handle(handle)

    def _watch_socket(
        self,
        what: int,
        descriptor: int,
        multi: pycurl.CurlMulti,
        data: object,
    ) -> None:
        if what == pycurl.POLL_REMOVE:
            self._reactor.unwatch(descriptor)
            return
        self._reactor.watch(
            descriptor,
            _EVENTS[what],
            lambda events: self._act(descriptor, events),
        )

    def _set_timer(self, delay_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_ms >= 0:
            self._timer = self._reactor.call_later(
                delay_ms / 1000, self._act_on_time
            )

    def _act(self, descriptor: int, events: int) -> None:
        mask = 0
        if events & selectors.EVENT_READ:
            mask |= pycurl.CSELECT_IN
        if events & selectors.EVENT_WRITE:
            mask |= pycurl.CSELECT_OUT
        self._multi.socket_action(descriptor, mask)
        self._collect()

    def _act_on_time(self) -> None:
        self._timer = None
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._collect()

    def _collect(self) -> None:
        """Finish each call that has ended."""
        more = 1
        while more:
            more, done, failed = self._multi.info_read()
            for handle in done:
                self._finish_handle(handle, pycurl.E_OK)
            for handle, code, _ in failed:
                self._finish_handle(handle, code)

    def _finish_handle(self, handle: pycurl.Curl, code: int) -> None:
        finish = self._finish.pop(handle)
        self._multi.remove_handle(handle)
        finish(code)
        if len(self._idle) < const.IDLE_HANDLES:
            self._idle.append(handle)
        else:
            handle.close()

    def _check_health(self) -> None:
        handle = self._get_handle()
        handle.setopt(pycurl.URL, f'{self._url}{self._health_path}')
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TIMEOUT_MS, int(const.HEALTH_TIMEOUT_S * 1000))
        handle.setopt(pycurl.WRITEFUNCTION, lambda data: None)
        self._add(handle, lambda code: self._end_health(handle, code))

    def _end_health(self, handle: pycurl.Curl, code: int) -> None:
        is_well = (
            code == pycurl.E_OK and handle.getinfo(pycurl.RESPONSE_CODE) == 200
        )
        self._failures = 0 if is_well else self._failures + 1
        if is_well:
            self._sink.health_changed(True)
        elif self._failures >= const.HEALTH_FAILURES:
            self._sink.health_changed(False)
