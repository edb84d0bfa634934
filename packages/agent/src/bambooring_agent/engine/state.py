"""Read the head of a response and decide how its call ended."""

import dataclasses

import pycurl

from bambooring_agent.engine import const
from bambooring_core.dispatch import messages as dispatch
from bambooring_core.http1 import checks


@dataclasses.dataclass(slots=True, kw_only=True)
class CallResult:
    """How a call ended: the attempt's outcome, and why it didn't complete."""

    outcome: dispatch.Outcome
    reason: str = ''


class Response:
    """The head of a response and the last bytes of its body.

    Exists from the start of a call to its end. The last bytes show whether
    an event stream of the chat protocol is complete.
    """

    __slots__ = (
        'headers',
        'is_chat',
        'is_head_complete',
        'has_valid_status',
        'status',
        'body_tail',
    )

    def __init__(self, *, is_chat: bool) -> None:
        self.is_chat = is_chat
        self.status = 0
        self.has_valid_status = True
        self.headers: list[dispatch.Header] = []
        self.body_tail = b''
        self.is_head_complete = False

    def add_header_line(self, line: bytes) -> bool:
        """Add one line of the head.

        Interim responses (1xx) are skipped.

        :param line: the status line, a header or the empty line at the end
        :returns: True if the line completes the head of the final response
        """
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self.status = int(text.split(' ', 2)[1])
            self.has_valid_status = checks.is_valid_status(self.status)
            self.headers = []
            return False
        if not text:
            self.is_head_complete = (
                self.has_valid_status and self.status >= 200
            )
            return self.is_head_complete
        name, _, value = text.partition(':')
        if name.lower() not in const.DROPPED_HEADERS:
            header = dispatch.Header(name=name, value=value.strip())
            self.headers.append(header)
        return False

    def add_body(self, data: bytes) -> None:
        """Keep the last BODY_TAIL_BYTES of the body."""
        self.body_tail = (self.body_tail + data)[-const.BODY_TAIL_BYTES :]

    def classify_end(self, curl_code: int) -> CallResult:
        """Decide how the call ended.

        Only a failed connection attempt proves that the request was not
        run. A timeout proves nothing, even one while connecting.

        :param curl_code: curl's result, 0 for a complete response
        :returns: the attempt's outcome and the reason
        """
        if curl_code == pycurl.E_OK:
            return self._classify_complete_response()
        if curl_code == pycurl.E_COULDNT_CONNECT:
            return CallResult(
                outcome=dispatch.Outcome.NOT_RUN,
                reason=const.REASON_TARGET_UNREACHABLE,
            )
        reason = const.REASON_TARGET_LOST
        if curl_code == pycurl.E_OPERATION_TIMEDOUT:
            reason = const.REASON_TARGET_TIMEOUT
        return CallResult(outcome=dispatch.Outcome.UNKNOWN, reason=reason)

    def _classify_complete_response(self) -> CallResult:
        if self.is_chat and self._is_event_stream():
            if const.STREAM_END_MARKER not in self.body_tail:
                return CallResult(
                    outcome=dispatch.Outcome.FAILED,
                    reason=const.REASON_STREAM_CUT,
                )
        return CallResult(outcome=dispatch.Outcome.COMPLETE)

    def _is_event_stream(self) -> bool:
        return any(
            header.name.lower() == 'content-type'
            and header.value.startswith(const.EVENT_STREAM_TYPE)
            for header in self.headers
        )
