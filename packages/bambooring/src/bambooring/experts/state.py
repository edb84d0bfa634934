"""Keep the decisions on switches, as control replicas do."""

import collections.abc
import typing

from bambooring.experts import const
from bambooring.experts import messages


class SwitchStore:
    """Hold which switches were committed and each group's map."""

    def __init__(self) -> None:
        self.committed_maps: dict[str, messages.GroupMap] = {}
        self._decisions: dict[int, messages.Decided] = {}

    def decide(self, command: messages.Decide) -> messages.Decided:
        """Decide a switch, once and for all.

        :param command: what is asked for
        :returns: what was decided, now or before
        """
        existing = self._decisions.get(command.switch)
        if existing is not None:
            return existing
        decided = messages.Decided(
            group=command.group,
            switch=command.switch,
            is_commit=command.is_commit,
        )
        self._record(decided)
        if decided.is_commit:
            self.committed_maps[command.group] = messages.GroupMap(
                group=command.group,
                switch=command.switch,
                expert_map=command.expert_map,
            )
        return decided

    def _record(self, decided: messages.Decided) -> None:
        self._decisions[decided.switch] = decided
        while len(self._decisions) > const.MAX_DECISIONS:
            del self._decisions[next(iter(self._decisions))]

    def find_decision(self, switch: int) -> messages.Decided | None:
        """Return a switch's decision, or None."""
        return self._decisions.get(switch)

    def save(self) -> collections.abc.Iterator[typing.Any]:
        """Yield messages that hold the whole state."""
        yield from self.committed_maps.values()
        yield from self._decisions.values()

    def restore(self, message: typing.Any) -> bool:
        """Take back one message that :meth:`save` yielded.

        :param message: the message
        :returns: False if it is not one of these
        """
        match message:
            case messages.GroupMap():
                self.committed_maps[message.group] = message
            case messages.Decided():
                self._record(message)
            case _:
                return False
        return True
