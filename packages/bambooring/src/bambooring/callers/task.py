"""Serve callers' HTTP requests as a WSGI application.

The server runs each request in a worker thread of its own.
"""

import collections.abc
import contextlib
import io
import itertools
import queue
import random
import secrets
import threading
import time
import typing

import structlog
import werkzeug.wrappers

from bambooring.callers import const
from bambooring.callers import errors
from bambooring.callers import messages
from bambooring.callers import responses
from bambooring.callers import state
from bambooring.dispatch import messages as dispatch
from bambooring import metrics
from bambooring_core.dispatch import messages as wire
from bambooring_core import errors as core_errors
from bambooring_core import http

LOG = structlog.get_logger(__name__)

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response


class Application:
    """WSGI application that makes a call of each request."""

    def __init__(self, backend: messages.Backend, max_body_bytes: int) -> None:
        self._backend = backend
        self._max_body_bytes = max_body_bytes
        self._call_ids = itertools.count(1)
        self._rng = random.Random()
        self._large_body_lock = threading.Lock()

    def __call__(
        self, environ: dict, start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Serve one request."""
        request_id = secrets.token_hex(8)
        self._backend.begin_request()
        try:
            response = self._respond(environ, request_id)
        except BaseException:
            self._backend.end_request()
            raise
        if self._backend.is_leaving():
            response.headers['Connection'] = 'close'
        response.call_on_close(self._backend.end_request)
        return response(environ, start_response)

    def make_unreadable_request_error(
        self, status: int, reason: str
    ) -> tuple[bytes, list[tuple[str, str]]]:
        """Return body and headers for a request that could not be read."""
        request_id = secrets.token_hex(8)
        failure = dispatch.Failure(
            status=status, reason=reason, outcome=wire.Outcome.NOT_RUN
        )
        responses.count_error(failure)
        body = responses.make_error_body(
            status, reason, failure.outcome, request_id
        )
        retry_after_s = const.MEMORY_RETRY_AFTER_S if status == 503 else 0.0
        headers = responses.make_error_headers(
            reason, failure.outcome, request_id, retry_after_s, self._rng
        )
        return body, headers

    def _respond(self, environ: dict, request_id: str) -> Response:
        arrived_at = time.monotonic()
        try:
            call = self._read_call(environ, request_id)
        except errors.RequestRefusedError as error:
            failure = responses.make_refusal_failure(error)
            response = responses.make_error_response(
                failure, request_id, self._rng
            )
            response.headers['Connection'] = 'close'
            return response
        exchange = Exchange(
            backend=self._backend,
            call=call,
            environ=environ,
            arrived_at=arrived_at,
            rng=self._rng,
        )
        return exchange.respond()

    def _read_call(self, environ: dict, request_id: str) -> dispatch.Call:
        refusal_reason = self._backend.get_refusal_reason()
        if refusal_reason is not None:
            raise errors.RequestRefusedError(503, refusal_reason, 1.0)
        view = self._backend.get_view()
        # Without a reference from the environment to the request, both are
        # freed with the response, not by the next garbage collection.
        request = Request(environ, populate_request=False)
        account = state.find_account(
            request.headers.get('Authorization', ''), view
        )
        parsed_request = state.Request(
            id=next(self._call_ids),
            request_id=request_id,
            method=request.method,
            path=_get_raw_path(environ),
            headers=list(request.headers),
            body=self._read_body(environ),
        )
        with self._limit_parsing(parsed_request.body):
            call = state.make_call(parsed_request, account, view)
        is_http_1_0 = environ.get('SERVER_PROTOCOL') == 'HTTP/1.0'
        if is_http_1_0 and call.service.is_chat:
            raise errors.RequestRefusedError(
                505, const.REASON_PROTOCOL_TOO_OLD
            )
        return call

    def _limit_parsing(
        self, body: bytes
    ) -> contextlib.AbstractContextManager[typing.Any]:
        """Return a context in which one large body is parsed at a time.

        While it is parsed, a body takes several times its size.
        """
        if len(body) <= const.SMALL_BODY_BYTES:
            return contextlib.nullcontext()
        return self._large_body_lock

    def _read_body(self, environ: dict) -> bytes:
        stream = environ['wsgi.input']
        is_chunked = environ.get('wsgi.input_terminated', False)
        length = environ.get('CONTENT_LENGTH')
        if is_chunked and length is not None:
            raise errors.RequestRefusedError(
                400, const.REASON_AMBIGUOUS_LENGTH
            )
        if is_chunked:
            return self._read_chunked(stream)
        expected_bytes = int(length or 0)
        body = stream.read(expected_bytes) if expected_bytes > 0 else b''
        if len(body) < expected_bytes:
            raise errors.RequestRefusedError(400, const.REASON_INCOMPLETE_BODY)
        return body

    def _read_chunked(self, stream: typing.Any) -> bytes:
        body = io.BytesIO()
        try:
            while part := stream.read(const.BODY_READ_BYTES):
                body.write(part)
                if body.tell() > self._max_body_bytes:
                    raise errors.RequestRefusedError(
                        413, const.REASON_TOO_LARGE
                    )
        except (ValueError, EOFError) as error:
            raise errors.RequestRefusedError(
                400, const.REASON_INCOMPLETE_BODY
            ) from error
        return body.getvalue()


def _get_raw_path(environ: dict) -> str:
    """Return the path and query string as they were sent.

    :raises RequestRefusedError: if that is no path of visible ASCII
    """
    uri = environ['REQUEST_URI']
    if not uri.startswith('/'):
        raise errors.RequestRefusedError(400, const.REASON_NO_SUCH_PATH)
    if any(ord(character) <= 32 or ord(character) > 126 for character in uri):
        raise errors.RequestRefusedError(400, const.REASON_NO_SUCH_PATH)
    return uri


class Exchange:
    """One request and its response.

    Used in the worker thread of the request until its response is closed.
    """

    def __init__(
        self,
        *,
        backend: messages.Backend,
        call: dispatch.Call,
        environ: dict,
        arrived_at: float,
        rng: random.Random,
    ) -> None:
        self._backend = backend
        self._call = call
        self._environ = environ
        self._socket = environ[http.SOCKET_KEY]
        self._is_http_1_0 = environ.get('SERVER_PROTOCOL') == 'HTTP/1.0'
        self._arrived_at = arrived_at
        self._rng = rng
        self._events: messages.EventQueue = queue.SimpleQueue()
        self._is_ended = False
        self._is_released = False

    def respond(self) -> Response:
        """Submit the call and return a response once its first event is in."""
        self._backend.submit(self._call, self._events)
        try:
            first_event = self._wait_for_event()
            if isinstance(first_event, dispatch.Failure):
                return self._respond_error(first_event)
            assert isinstance(first_event, dispatch.Head)
            metrics.FIRST_BYTE_S.labels(
                service=self._call.service.name
            ).observe(time.monotonic() - self._arrived_at)
            if responses.is_event_stream(first_event):
                return self._respond_streaming(first_event, [])
            return self._respond_buffered(first_event)
        except BaseException:
            self._release_call()
            raise

    def _respond_error(self, failure: dispatch.Failure) -> Response:
        self._release_call()
        self._log_failure(failure)
        return responses.make_error_response(
            failure, self._call.request_id, self._rng
        )

    def _respond_buffered(self, head: dispatch.Head) -> Response:
        """Respond with the whole body, or stream it if it is too large."""
        parts: list[bytes] = []
        size = 0
        limit = const.BUFFERED_LIMIT_BYTES
        if self._is_http_1_0:
            limit = const.HTTP_1_0_BUFFERED_LIMIT_BYTES
        while size <= limit:
            event = self._wait_for_event()
            match event:
                case dispatch.Data():
                    parts.append(event.data)
                    size += len(event.data)
                case dispatch.Finished():
                    self._finish_successful_call()
                    return responses.make_response(
                        head, b''.join(parts), self._call.request_id
                    )
                case dispatch.Failure():
                    return self._respond_error(event)
        if self._is_http_1_0:
            return self._respond_error(_make_http_1_0_failure())
        return self._respond_streaming(head, parts)

    def _respond_streaming(
        self, head: dispatch.Head, parts: list[bytes]
    ) -> Response:
        is_event_stream = responses.is_event_stream(head)
        response = responses.make_response(
            head,
            self._send_body(parts, is_event_stream),
            self._call.request_id,
        )
        response.call_on_close(self._release_call)
        return response

    def _send_body(
        self, parts: list[bytes], is_event_stream: bool
    ) -> collections.abc.Iterator[bytes]:
        """Yield the buffered parts, then let the instance write the rest.

        The instance's thread writes chunks to the socket itself, so nothing
        else is yielded; the server writes the last chunk of the chunked
        coding when this generator ends. If the call fails, the connection is
        closed instead, so that the body can't pass for complete.
        """
        yield from parts
        self._environ[http.SEND_HEAD_KEY]()
        end_queue: messages.EventQueue = queue.SimpleQueue()
        self._backend.lend_socket(
            self._call, self._socket, is_event_stream, end_queue
        )
        end_event = end_queue.get()
        if isinstance(end_event, dispatch.Finished):
            self._finish_successful_call()
            return
        assert isinstance(end_event, dispatch.Failure)
        self._is_ended = True
        self._log_failure(end_event)
        responses.count_error(end_event)
        raise core_errors.ResponseAbortedError(end_event.reason)

    def _wait_for_event(self) -> dispatch.Event:
        """Return the call's next event; raise if the caller has left."""
        while True:
            with contextlib.suppress(queue.Empty):
                return self._events.get(
                    timeout=const.DISCONNECT_CHECK_INTERVAL_S
                )
            if http.is_closed(self._socket):
                raise core_errors.ResponseAbortedError('caller_gone')

    def _finish_successful_call(self) -> None:
        metrics.REQUESTS.labels(service=self._call.service.name).inc()
        metrics.RESPONSE_S.labels(service=self._call.service.name).observe(
            time.monotonic() - self._arrived_at
        )
        self._is_ended = True
        self._release_call()

    def _release_call(self) -> None:
        """Release the call once, and cancel it if it has not ended."""
        if self._is_released:
            return
        self._is_released = True
        if not self._is_ended:
            self._backend.cancel(self._call.id)
        self._backend.release_call(self._call)

    def _log_failure(self, failure: dispatch.Failure) -> None:
        LOG.info(
            'request failed',
            request=self._call.request_id,
            service=self._call.service.name,
            account=self._call.account.name,
            reason=failure.reason,
            outcome=failure.outcome.value,
        )


def _make_http_1_0_failure() -> dispatch.Failure:
    """Return the failure for a body that is too large for HTTP/1.0.

    Without chunked coding, its caller could not tell the end of the body
    from a broken connection.
    """
    return dispatch.Failure(
        status=502,
        reason=const.REASON_PROTOCOL_TOO_OLD,
        outcome=wire.Outcome.FAILED,
    )
