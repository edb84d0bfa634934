"""Drive many streams from one thread and time their tokens."""

import collections.abc
import dataclasses
import heapq
import time

import pycurl

from standins import caller

TOKEN_MARK = b'data: {'
POLL_S = 0.002


@dataclasses.dataclass(slots=True, kw_only=True)
class Stream:
    """Hold what one stream brought; times in seconds."""

    handle: pycurl.Curl
    sent_at: float
    tokens: list[float] = dataclasses.field(default_factory=list)
    error: int = 0
    status: int = 0
    last: bytes = b''

    def read(self, data: bytes) -> None:
        """Note when the tokens in a chunk came."""
        now = time.perf_counter()
        self.tokens += [now] * data.count(TOKEN_MARK)
        self.last = data


@dataclasses.dataclass(slots=True, kw_only=True)
class Order:
    """Ask for one stream at a time after the start, in seconds."""

    at_s: float
    url: str
    key: str
    body: bytes


def run(
    orders: collections.abc.Iterable[Order], limit_s: float
) -> list[Stream]:
    """Run streams until all have ended or a limit is reached.

    :param orders: what to send and when
    :param limit_s: how long to run at most
    :returns: the streams in the order they were sent
    """
    waiting = [
        (order.at_s, index, order) for index, order in enumerate(orders)
    ]
    heapq.heapify(waiting)
    multi = pycurl.CurlMulti()
    streams: list[Stream] = []
    running: dict[pycurl.Curl, Stream] = {}
    start = time.perf_counter()
    while waiting or running:
        now = time.perf_counter() - start
        if now > limit_s:
            break
        while waiting and waiting[0][0] <= now:
            stream = _begin(heapq.heappop(waiting)[2], multi)
            streams.append(stream)
            running[stream.handle] = stream
        multi.perform()
        _collect(multi, running)
        multi.select(POLL_S)
    for handle in running:
        multi.remove_handle(handle)
    return streams


def _begin(order: Order, multi: pycurl.CurlMulti) -> Stream:
    handle, _, _ = caller.prepare_request(order.url, order.key, order.body)
    stream = Stream(handle=handle, sent_at=time.perf_counter())
    handle.setopt(pycurl.WRITEFUNCTION, stream.read)
    multi.add_handle(handle)
    return stream


def _collect(
    multi: pycurl.CurlMulti, running: dict[pycurl.Curl, Stream]
) -> None:
    _, done, failed = multi.info_read()
    for handle in done:
        _end(multi, running.pop(handle), 0)
    for handle, code, _ in failed:
        _end(multi, running.pop(handle), code)


def _end(multi: pycurl.CurlMulti, stream: Stream, error: int) -> None:
    stream.error = error
    stream.status = stream.handle.getinfo(pycurl.RESPONSE_CODE)
    multi.remove_handle(stream.handle)
    stream.handle.close()
