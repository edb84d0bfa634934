"""Let another thread ask a reactor's thread and wait for the answer."""

import collections.abc
import queue
import typing

from bambooring_core import reactor as reactor_module

ReplyCallback = collections.abc.Callable[[typing.Any], None]


def call_and_wait(
    reactor: reactor_module.Reactor,
    function: collections.abc.Callable[[ReplyCallback], None],
    timeout_s: float,
) -> typing.Any:
    """Ask and wait.

    :param reactor: whose thread to ask
    :param question: called there with a function that takes the answer
    :param timeout_s: how long to wait in seconds
    :returns: the answer, or None if none came in time
    """
    replies: queue.SimpleQueue = queue.SimpleQueue()
    reactor.post(lambda: function(replies.put))
    try:
        return replies.get(timeout=timeout_s)
    except queue.Empty:
        return None
