"""Run one offer of a request to one target."""

import typing

from bambooring.balancing import state as balancing
from bambooring.forwarding import const
from bambooring.forwarding import messages
from bambooring_core.http1 import client
from bambooring_core.http1 import errors as http1_errors
from bambooring_core.http1 import messages as http1
from bambooring_core import reactor as reactor_module


class Owner(typing.Protocol):
    """Receive what an attempt comes to."""

    def read_response_head(
        self, head: http1.ResponseHead
    ) -> messages.TargetResponse:
        """Decode the head of a target's response."""

    def attempt_began(self, attempt: 'Attempt') -> None:
        """Take note of a proper head of a stream or a large answer."""

    def attempt_data(self, attempt: 'Attempt', data: bytes) -> None:
        """Take a part of the body of an answer that has begun."""

    def attempt_ended(self, attempt: 'Attempt') -> None:
        """Take note that the answer is whole."""

    def attempt_refused(self, attempt: 'Attempt') -> None:
        """Take note that the target proved not to run the request."""

    def attempt_failed(self, attempt: 'Attempt', failure: str) -> None:
        """Take note that no whole answer will come."""


class Attempt:
    """Hold one offer; tells its owner once how it ended."""

    def __init__(
        self,
        *,
        owner: Owner,
        reactor: reactor_module.Reactor,
        make_call: client.MakeCall,
        request: messages.CallerRequest,
        choice: balancing.Choice,
    ) -> None:
        self._owner = owner
        self._request = request
        self.choice = choice
        self.target = choice.target
        self.began_s = reactor.now()
        self.last_event_s: float | None = None
        self.reply: messages.TargetResponse | None = None
        self.body = bytearray()
        self.is_over = False
        self.is_forwarding = False
        self.call = make_call(
            reactor=reactor,
            address=choice.target.address,
            listener=self,
            connect_timeout_s=const.CONNECT_TIMEOUT_S,
        )

    @property
    def tokens(self) -> int:
        """Return the work that the request stands for."""
        return self._request.tokens

    @property
    def may_have_run(self) -> bool:
        """Tell whether the target may have begun the request."""
        if not self.call.is_sent:
            return False
        return self.reply is None or not self.reply.is_refused

    def send(self, headers: http1.Headers) -> None:
        """Send the request.

        :param headers: the headers for the target
        """
        self.call.send(
            self._request.method,
            self._request.request_target,
            headers,
            self._request.body,
        )

    def abort(self) -> None:
        """Break the offer off, so that the target ends its work."""
        self.is_over = True
        self.call.abort()

    def receive_head(self, head: http1.ResponseHead) -> None:
        """Take a response's head."""
        if self.is_over:
            return
        reply = self._owner.read_response_head(head)
        if reply.attempt_id and reply.attempt_id != self._request.attempt_id:
            self._fail('wrong_answer')
            return
        self.reply = reply
        if reply.is_refused:
            self.abort()
            self._owner.attempt_refused(self)
        elif reply.is_success and not _is_vouched(reply):
            self._fail('unsigned_answer')
        elif reply.is_success and reply.is_stream:
            self._begin()

    def _begin(self) -> None:
        self.is_forwarding = True
        self._owner.attempt_began(self)

    def receive_data(self, data: bytes) -> None:
        """Take a part of the body, and hold it while it may be retried."""
        if self.is_over:
            return
        if self.is_forwarding:
            self._owner.attempt_data(self, data)
            return
        self.body += data
        if len(self.body) > const.HOLD_LIMIT_BYTES:
            held = bytes(self.body)
            self.body.clear()
            self._begin()
            self._owner.attempt_data(self, held)

    def receive_end(self) -> None:
        """Take note that the response is complete."""
        if not self.is_over:
            self.is_over = True
            self._owner.attempt_ended(self)

    def fail(self, failure: http1_errors.Failure) -> None:
        """Take note that no complete response will come."""
        self._fail(failure.value)

    def _fail(self, failure: str) -> None:
        if self.is_over:
            return
        self.abort()
        self._owner.attempt_failed(self, failure)


def _is_vouched(reply: messages.TargetResponse) -> bool:
    """Tell whether a success is the target's own whole answer."""
    return reply.is_signed and not reply.is_encoded and bool(reply.attempt_id)
