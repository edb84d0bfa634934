"""Store the decisions on map switches, as replicated state."""

import collections.abc
import typing

from bambooring.experts import const
from bambooring.experts import messages


class SwitchStore:
    """Store which switches were committed and each group's last map.

    Every control replica has one, changes it as it applies the log, and
    saves it in snapshots. The oldest decisions are dropped.
    """

    def __init__(self) -> None:
        self.committed_maps: dict[str, messages.GroupMap] = {}
        self._decisions: dict[int, messages.Decided] = {}

    def decide(self, command: messages.Decide) -> messages.Decided:
        """Decide a switch, unless an earlier command has decided it.

        :param command: the command to commit or abort
        :returns: the decision, made now or earlier
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
        """Return a switch's decision, or None if there is none."""
        return self._decisions.get(switch)

    def save(self) -> collections.abc.Iterator[typing.Any]:
        """Yield messages from which :meth:`restore` rebuilds the state."""
        yield from self.committed_maps.values()
        yield from self._decisions.values()

    def restore(self, message: typing.Any) -> bool:
        """Restore the part of the state that one message holds.

        :param message: a message that :meth:`save` yielded
        :returns: False if the message belongs to another store
        """
        match message:
            case messages.GroupMap():
                self.committed_maps[message.group] = message
            case messages.Decided():
                self._record(message)
            case _:
                return False
        return True
