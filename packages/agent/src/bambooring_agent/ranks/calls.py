"""Call the engine on this machine and collect its responses."""

import collections.abc

from bambooring_agent.ranks import const
from bambooring_core.http1 import client
from bambooring_core.http1 import const as http1_const
from bambooring_core.http1 import errors as http1_errors
from bambooring_core.http1 import messages as http1
from bambooring_core.ranks import messages
from bambooring_core import reactor as reactor_module

# Is called with the status and the body; status 0 means no complete response.
ResponseCallback = collections.abc.Callable[[int, bytes], None]


class EngineCall:
    """One call to the engine; its callback is called exactly once.

    A call without a complete response after CALL_TIMEOUT_S is aborted.
    """

    def __init__(
        self,
        reactor: reactor_module.Reactor,
        address: str,
        call: messages.RankCall,
        callback: ResponseCallback,
    ) -> None:
        self._callback: ResponseCallback | None = callback
        self._status = 0
        self._body = bytearray()
        self._timer = reactor.call_later(const.CALL_TIMEOUT_S, self._expire)
        self._call = client.Call(
            reactor=reactor,
            address=address,
            listener=self,
            connect_timeout_s=const.CALL_TIMEOUT_S,
        )
        self._call.send(call.method, call.path, call.headers, call.body)

    def handle_response_head(self, head: http1.ResponseHead) -> None:
        """Record the status of the response."""
        self._status = head.status

    def handle_response_data(self, data: bytes) -> None:
        """Add a part of the body; abort a call whose body has no end."""
        self._body += data
        if len(self._body) > http1_const.MAX_BODY_BYTES:
            self._expire()

    def handle_response_end(self) -> None:
        """Pass on the complete response."""
        self._finish(self._status)

    def handle_call_failure(self, failure: http1_errors.Failure) -> None:
        """Report that no complete response will come."""
        self._finish(0)

    def _expire(self) -> None:
        self._call.abort()
        self._finish(0)

    def _finish(self, status: int) -> None:
        callback, self._callback = self._callback, None
        if callback is not None:
            self._timer.cancel()
            callback(status, bytes(self._body))
