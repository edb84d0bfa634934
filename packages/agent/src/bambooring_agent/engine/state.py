"""Collect one response and judge how it ended."""

import dataclasses

import pycurl

from bambooring_agent.engine import const
from bambooring_core.dispatch import messages as dispatch


@dataclasses.dataclass(slots=True, kw_only=True)
class CallResult:
    """Say what became of a call."""

    outcome: dispatch.Outcome
    reason: str = ''


class Response:
    """Hold the head of a response and the last bytes of its body."""

    __slots__ = (
        'headers',
        'is_chat',
        'is_head_complete',
        'status',
        'body_tail',
    )

    def __init__(self, *, is_chat: bool) -> None:
        self.is_chat = is_chat
        self.status = 0
        self.headers: list[dispatch.Header] = []
        self.body_tail = b''
        self.is_head_complete = False

    def add_header_line(self, line: bytes) -> bool:
        """Take one header line.

        :param line: the line with its line end
        :returns: True once the final response's head is complete
        """
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self.status = int(text.split(' ', 2)[1])
            self.headers = []
            return False
        if not text:
            self.is_head_complete = self.status >= 200
            return self.is_head_complete
        name, _, value = text.partition(':')
        if name.lower() not in const.DROPPED_HEADERS:
            header = dispatch.Header(name=name, value=value.strip())
            self.headers.append(header)
        return False

    def add_body(self, data: bytes) -> None:
        """Remember the last bytes of the body."""
        self.body_tail = (self.body_tail + data)[-const.BODY_TAIL_BYTES :]

    def classify_end(self, curl_code: int) -> CallResult:
        """Judge the end of the call.

        :param curl_code: the HTTP library's result, 0 for a whole response
        :returns: the verdict
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
