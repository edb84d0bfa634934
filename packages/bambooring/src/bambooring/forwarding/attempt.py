"""Send one attempt of a request to one target."""

import typing

from bambooring.balancing import state as balancing
from bambooring.forwarding import access_log
from bambooring.forwarding import const
from bambooring.forwarding import messages
from bambooring.forwarding import protocols
from bambooring.forwarding import second_answers
from bambooring.forwarding import suspicions
from bambooring_core.http1 import client
from bambooring_core.http1 import errors as http1_errors
from bambooring_core.http1 import messages as http1
from bambooring_core import reactor as reactor_module


class AttemptListener(typing.Protocol):
    """Receive the progress and the result of an attempt.

    Exactly one of ``handle_completion``, ``handle_refusal`` and
    ``handle_failure`` is called, unless the listener aborts the attempt.
    """

    def read_response_head(
        self, head: http1.ResponseHead
    ) -> messages.TargetResponse:
        """Decode the head of a target's response."""

    def record_statements(self, attempt: 'Attempt') -> None:
        """Record what the head of a response says of the target itself."""

    def hold_answer(self, size: int) -> None:
        """Account for the bytes of an answer that are buffered."""

    def start_forwarding(self, attempt: 'Attempt') -> None:
        """Begin to forward a stream or a response too large to buffer.

        Its head has been accepted; its body follows in parts.
        """

    def forward_data(self, attempt: 'Attempt', data: bytes) -> None:
        """Forward a part of the body of a response that has started."""

    def handle_completion(self, attempt: 'Attempt') -> None:
        """Handle a complete response."""

    def handle_refusal(self, attempt: 'Attempt') -> None:
        """Handle a response that proves that the request is not run."""

    def handle_failure(self, attempt: 'Attempt', failure: str) -> None:
        """Handle an attempt that will have no complete response.

        :param attempt: the attempt
        :param failure: why, as a label for logs and metrics
        """

    def handle_silence(self, attempt: 'Attempt') -> None:
        """Handle that the target has sent no response head for long."""


class Attempt:
    """One attempt to have a target run a request.

    It reports to its listener once how it ended. A response is buffered until
    it is complete; streams and responses above a size limit are forwarded
    part by part.

    All that belongs to one attempt is kept here and ends with it: what the
    target has sent, the stream, the timers and the line in the log.
    """

    def __init__(
        self,
        *,
        listener: AttemptListener,
        reactor: reactor_module.Reactor,
        make_call: client.CallFactory,
        request: messages.CallerRequest,
        choice: balancing.Choice,
        expects_stream: bool,
    ) -> None:
        self._listener = listener
        self._reactor = reactor
        self._request = request
        self._expects_stream = expects_stream
        self.target = choice.target
        self.record = access_log.AttemptRecord.make(choice)
        self.began_s = reactor.now()
        # Whether the target has begun to answer: of a stream, its first event.
        self.has_begun = False
        # Whether a stream has gone on for some time since.
        self.has_progress = False
        self.response: messages.TargetResponse | None = None
        # Whether the end of the response shows without the connection's.
        self.has_length = True
        self.received_bytes = 0
        self.buffered_body = bytearray()
        self._scanner = second_answers.BodyScanner(
            request.attempt_id, listener.read_response_head
        )
        # What passes the response on, if it is a stream of events.
        self.stream: protocols.EventStream | None = None
        # The tokens of the prompt until the target has read them.
        self.unread_tokens = request.prompt_tokens
        self.body_bytes = len(request.body)
        self.is_over = False
        self.is_forwarding = False
        # Set once it is known whether the attempt probes a suspect.
        self.probe: suspicions.AttemptProbe | None = None
        self._silence_timer: reactor_module.Timer | None = None
        self.call = make_call(
            reactor=reactor,
            address=choice.target.address,
            listener=self,
            connect_timeout_s=const.CONNECT_TIMEOUT_S,
        )

    @property
    def attempt_id(self) -> str:
        """Return the id of the request, which the target echoes."""
        return self._request.attempt_id

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have begun to run the request."""
        if not self.call.may_have_sent:
            return False
        return self.response is None or not self.response.is_refused

    @property
    def is_event_stream(self) -> bool:
        """Return whether the target answers with the stream that is due.

        To a request that isn't answered by a stream its type says nothing.
        """
        return (
            self._expects_stream
            and self.response is not None
            and self.response.is_success
            and self.response.is_stream
        )

    def send(
        self, headers: http1.Headers, silence_timeout_s: float | None = None
    ) -> None:
        """Send the request to the target.

        :param headers: the headers for the target
        :param silence_timeout_s: after how long without a response head the
            listener is told, in seconds; None for never
        """
        if silence_timeout_s is not None:
            self._silence_timer = self._reactor.call_later(
                silence_timeout_s, self._report_silence
            )
        self.call.send(
            self._request.method,
            self._request.request_target,
            headers,
            self._request.body,
        )

    def _report_silence(self) -> None:
        if not self.is_over and self.response is None:
            self._listener.handle_silence(self)

    def abort(self) -> None:
        """Close the connection, so that the target stops its work."""
        self.is_over = True
        self.call.abort()

    def end_probe(self) -> None:
        """Allow the next probe, if the attempt was one."""
        if self.probe is not None:
            self.probe.end()

    def close(self, outcome: str) -> None:
        """End all that belongs to the attempt, and complete its record.

        :param outcome: how it ended, as a label for logs
        """
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        if self.stream is not None:
            self.record.events = self.stream.counts.format()
            self.stream.close()
        self.record.outcome = outcome
        elapsed_s = self._reactor.now() - self.began_s
        self.record.duration_ms = round(elapsed_s * 1000)
        self.record.has_begun = self.has_begun

    def handle_response_head(self, head: http1.ResponseHead) -> None:
        """Validate a response's head and decide how to handle its body."""
        if self.is_over:
            return
        response = self._listener.read_response_head(head)
        if (
            response.attempt_id
            and response.attempt_id != self._request.attempt_id
        ):
            self._fail('wrong_answer')
            return
        self.response = response
        self.has_length = head.has_length
        if _speaks_for_target(response):
            self._listener.record_statements(self)
        if response.is_refused:
            self.abort()
            self._listener.handle_refusal(self)
        elif response.is_success and not _is_from_target(response):
            self._fail('unsigned_answer')
        elif self.is_event_stream:
            self._begin_forwarding()

    def _begin_forwarding(self) -> None:
        self.is_forwarding = True
        self._listener.start_forwarding(self)

    def handle_response_data(self, data: bytes) -> None:
        """Forward a part of the body, or buffer it.

        The body is buffered while the request may still be retried.
        """
        if self.is_over:
            return
        self.received_bytes += len(data)
        if self.stream is not None:
            self._listener.forward_data(self, data)
            return
        data = self._scanner.feed(data)
        if self._scanner.has_found:
            self._fail('second_answer')
            return
        self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        if self.is_forwarding:
            self._listener.forward_data(self, data)
            return
        self.buffered_body += data
        self._listener.hold_answer(len(self.buffered_body))
        if len(self.buffered_body) > const.MAX_BUFFERED_BODY_BYTES:
            buffered = bytes(self.buffered_body)
            self.buffered_body.clear()
            self._listener.hold_answer(0)
            self._begin_forwarding()
            if not self.is_over:
                self._listener.forward_data(self, buffered)

    def handle_response_end(self) -> None:
        """Report that the response is complete."""
        if self.is_over:
            return
        if self.stream is None:
            rest = self._scanner.finish(self.call.surplus)
            if self._scanner.has_found:
                self._fail('second_answer')
                return
            self._pass_on(rest)
            if self.is_over:
                return
        self.is_over = True
        self._listener.handle_completion(self)

    def handle_call_failure(self, failure: http1_errors.Failure) -> None:
        """Report that no complete response will come."""
        self._fail(failure.value)

    def _fail(self, failure: str) -> None:
        if self.is_over:
            return
        self.abort()
        self._listener.handle_failure(self, failure)


def _is_from_target(response: messages.TargetResponse) -> bool:
    """Return whether a successful response is the target's own and whole."""
    return (
        response.is_signed
        and not response.is_encoded
        and bool(response.attempt_id)
    )


def _speaks_for_target(response: messages.TargetResponse) -> bool:
    """Return whether what a response says of its sender is the target's word.

    Only a success is signed. Of the other responses those that name another
    request have been dropped; a misdirected request was answered by another
    target.
    """
    if response.is_success:
        return _is_from_target(response)
    return not response.is_misdirected
