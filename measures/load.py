"""Run many response streams in one thread and record token times."""

import collections.abc
import dataclasses
import heapq
import time

import pycurl

from standins import caller

TOKEN_EVENT_PREFIX = b'data: {'
POLL_TIMEOUT_S = 0.002


@dataclasses.dataclass(slots=True, kw_only=True)
class Stream:
    """Response stream, with what arrived of it so far.

    ``sent_at`` and ``token_times`` are readings of ``time.perf_counter`` in
    seconds. ``curl_error`` is libcurl's error code, 0 for none; ``status`` is
    the HTTP status, set when the stream has ended.
    """

    handle: pycurl.Curl
    sent_at: float
    token_times: list[float] = dataclasses.field(default_factory=list)
    curl_error: int = 0
    status: int = 0
    last_chunk: bytes = b''

    def handle_data(self, data: bytes) -> None:
        """Record the arrival time of the tokens in a chunk."""
        now = time.perf_counter()
        self.token_times += [now] * data.count(TOKEN_EVENT_PREFIX)
        self.last_chunk = data


@dataclasses.dataclass(slots=True, kw_only=True)
class StreamRequest:
    """Request to send at an offset from the start of the run.

    ``send_offset_s`` is in seconds.
    """

    send_offset_s: float
    url: str
    api_key: str
    body: bytes


def run(
    requests: collections.abc.Iterable[StreamRequest], timeout_s: float
) -> list[Stream]:
    """Run streams until all have ended or the time is up.

    :param requests: the requests, in any order of sending
    :param timeout_s: maximum duration of the run; streams that are still
        running then are left incomplete
    :returns: the streams in the order of sending
    """
    pending = [
        (request.send_offset_s, index, request)
        for index, request in enumerate(requests)
    ]
    heapq.heapify(pending)
    multi = pycurl.CurlMulti()
    streams: list[Stream] = []
    running: dict[pycurl.Curl, Stream] = {}
    start = time.perf_counter()
    while pending or running:
        elapsed_s = time.perf_counter() - start
        if elapsed_s > timeout_s:
            break
        while pending and pending[0][0] <= elapsed_s:
            stream = _start_stream(heapq.heappop(pending)[2], multi)
            streams.append(stream)
            running[stream.handle] = stream
        multi.perform()
        _handle_ended_transfers(multi, running)
        multi.select(POLL_TIMEOUT_S)
    for handle in running:
        multi.remove_handle(handle)
    return streams


def _start_stream(request: StreamRequest, multi: pycurl.CurlMulti) -> Stream:
    handle, _, _ = caller.prepare_request(
        request.url, request.api_key, request.body
    )
    stream = Stream(handle=handle, sent_at=time.perf_counter())
    handle.setopt(pycurl.WRITEFUNCTION, stream.handle_data)
    multi.add_handle(handle)
    return stream


def _handle_ended_transfers(
    multi: pycurl.CurlMulti, running: dict[pycurl.Curl, Stream]
) -> None:
    _, completed, failed = multi.info_read()
    for handle in completed:
        _end_stream(multi, running.pop(handle), 0)
    for handle, curl_error, _ in failed:
        _end_stream(multi, running.pop(handle), curl_error)


def _end_stream(
    multi: pycurl.CurlMulti, stream: Stream, curl_error: int
) -> None:
    stream.curl_error = curl_error
    stream.status = stream.handle.getinfo(pycurl.RESPONSE_CODE)
    multi.remove_handle(stream.handle)
    stream.handle.close()
