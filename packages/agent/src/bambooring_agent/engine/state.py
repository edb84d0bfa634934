"""Collect one response and judge how it ended."""

import dataclasses

import pycurl

from bambooring_agent.engine import const
from bambooring_core.dispatch import messages as dispatch


@dataclasses.dataclass(slots=True, kw_only=True)
class Verdict:
    """Say what became of a call."""

    outcome: dispatch.Outcome
    reason: str = ''


class Response:
    """Hold the head of a response and the last bytes of its body."""

    __slots__ = ('headers', 'is_chat', 'is_open', 'status', 'tail')

    def __init__(self, *, is_chat: bool) -> None:
        self.is_chat = is_chat
        self.status = 0
        self.headers: list[dispatch.Header] = []
        self.tail = b''
        self.is_open = False

    def add_line(self, line: bytes) -> bool:
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
            self.is_open = self.status >= 200
            return self.is_open
        name, _, value = text.partition(':')
        if name.lower() not in const.HOP_BY_HOP:
            header = dispatch.Header(name=name, value=value.strip())
            self.headers.append(header)
        return False

    def add_body(self, data: bytes) -> None:
        """Remember the last bytes of the body."""
        self.tail = (self.tail + data)[-const.TAIL_BYTES :]

    def judge(self, code: int) -> Verdict:
        """Judge the end of the call.

        :param code: the HTTP library's result, 0 for a whole response
        :returns: the verdict
        """
        if code == pycurl.E_OK:
            return self._judge_whole()
        if code == pycurl.E_COULDNT_CONNECT:
            return Verdict(
                outcome=dispatch.Outcome.NOT_RUN,
                reason=const.REASON_TARGET_UNREACHABLE,
            )
        reason = const.REASON_TARGET_LOST
        if code == pycurl.E_OPERATION_TIMEDOUT:
            reason = const.REASON_TARGET_TIMEOUT
        return Verdict(outcome=dispatch.Outcome.UNKNOWN, reason=reason)

    def _judge_whole(self) -> Verdict:
        if self.is_chat and self._is_stream():
            if const.STREAM_END not in self.tail:
                return Verdict(
                    outcome=dispatch.Outcome.FAILED,
                    reason=const.REASON_STREAM_CUT,
                )
        return Verdict(outcome=dispatch.Outcome.COMPLETE)

    def _is_stream(self) -> bool:
        return any(
            header.name.lower() == 'content-type'
            and header.value.startswith(const.STREAM_TYPE)
            for header in self.headers
        )
