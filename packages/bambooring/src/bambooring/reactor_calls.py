"""Call functions in a reactor's thread from other threads."""

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
    """Call a function in a reactor's thread and wait for its reply.

    :param reactor: the reactor whose thread makes the call
    :param function: called with a callback that it gives the reply to, at
        once or later
    :param timeout_s: how long to wait for the reply, in seconds
    :returns: the reply, None if there was none in time
    """
    replies: queue.SimpleQueue = queue.SimpleQueue()
    reactor.post(lambda: function(replies.put))
    try:
        return replies.get(timeout=timeout_s)
    except queue.Empty:
        return None
