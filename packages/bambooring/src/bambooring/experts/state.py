"""Keep the decisions on switches, as control replicas do."""

import collections.abc
import typing

from bambooring.experts import const
from bambooring.experts import messages


class Switches:
    """Hold which switches were committed and each group's map."""

    def __init__(self) -> None:
        self.maps: dict[str, messages.GroupMap] = {}
        self._decided: dict[int, messages.Decided] = {}

    def decide(self, command: messages.Decide) -> messages.Decided:
        """Decide a switch, once and for all.

        :param command: what is asked for
        :returns: what was decided, now or before
        """
        known = self._decided.get(command.switch)
        if known is not None:
            return known
        decided = messages.Decided(
            group=command.group,
            switch=command.switch,
            is_commit=command.is_commit,
        )
        self._put(decided)
        if decided.is_commit:
            self.maps[command.group] = messages.GroupMap(
                group=command.group,
                switch=command.switch,
                expert_map=command.expert_map,
            )
        return decided

    def _put(self, decided: messages.Decided) -> None:
        self._decided[decided.switch] = decided
        while len(self._decided) > const.MAX_DECISIONS:
            del self._decided[next(iter(self._decided))]

    def find(self, switch: int) -> messages.Decided | None:
        """Return a switch's decision, or None."""
        return self._decided.get(switch)

    def save(self) -> collections.abc.Iterator[typing.Any]:
        """Yield messages that hold the whole state."""
        yield from self.maps.values()
        yield from self._decided.values()

    def restore(self, message: typing.Any) -> bool:
        """Take back one message that :meth:`save` yielded.

        :param message: the message
        :returns: False if it is not one of these
        """
        match message:
            case messages.GroupMap():
                self.maps[message.group] = message
            case messages.Decided():
                self._put(message)
            case _:
                return False
        return True
