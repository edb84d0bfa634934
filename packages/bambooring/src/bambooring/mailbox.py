"""Let another thread ask a reactor's thread and wait for the answer."""

import collections.abc
import queue
import typing

from bambooring_core import reactor as reactor_module

Reply = collections.abc.Callable[[typing.Any], None]


def ask(
    reactor: reactor_module.Reactor,
    question: collections.abc.Callable[[Reply], None],
    timeout_s: float,
) -> typing.Any:
    """Ask and wait.

    :param reactor: whose thread to ask
    :param question: called there with a function that takes the answer
    :param timeout_s: how long to wait in seconds
    :returns: the answer, or None if none came in time
    """
    answers: queue.SimpleQueue = queue.SimpleQueue()
    reactor.post(lambda: question(answers.put))
    try:
        return answers.get(timeout=timeout_s)
    except queue.Empty:
        return None
