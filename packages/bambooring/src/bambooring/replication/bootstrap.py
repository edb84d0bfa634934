"""Form the first group of voters, once, from replicas with empty logs."""

from bambooring.replication import messages


class GroupBootstrap:
    """Collect greetings until all replicas are known to be fresh.

    A replica is fresh if its log has never held an entry. Only the replica
    with the lowest name forms the group, and only while every other one
    has reported, in a greeting that names the id it has now, that it is
    fresh. A replica that loses its disk later finds that the others are
    not fresh, and waits until the group adds it.

    ``latest_ids`` maps the name of each peer to the id that it sent last.

    :param voter_names: the names of all first voters, empty on a replica
        that may not form a group
    """

    __slots__ = ('_fresh_ids', '_id', '_name', '_voter_names', 'latest_ids')

    def __init__(self, *, id: int, name: str, voter_names: list[str]) -> None:
        self._id = id
        self._name = name
        self._voter_names = voter_names
        self._fresh_ids: dict[str, int] = {}
        self.latest_ids: dict[str, int] = {}

    def add_greeting(self, greeting: messages.Greeting) -> None:
        """Record the greeting of a peer."""
        self.latest_ids[greeting.name] = greeting.id
        if greeting.is_fresh and greeting.your_id == self._id:
            self._fresh_ids[greeting.name] = greeting.id
        else:
            self._fresh_ids.pop(greeting.name, None)

    def handle_link_down(self, name: str) -> None:
        """Stop counting a replica as fresh once the link to it is down."""
        self._fresh_ids.pop(name, None)

    def is_superseded(self, name: str, id: int) -> bool:
        """Return whether the latest greeting of this name had another id."""
        return self.latest_ids.get(name, id) != id

    def choose_members(self) -> list[messages.Member] | None:
        """Return the voters to form the group with, or None to wait.

        Without voter names there is nothing to form: the group exists
        already.
        """
        other_names = [
            name for name in self._voter_names if name != self._name
        ]
        if not self._voter_names or self._name != min(self._voter_names):
            return None
        if any(name not in self._fresh_ids for name in other_names):
            return None
        ids = self._fresh_ids | {self._name: self._id}
        return [
            messages.Member(id=ids[name], name=name)
            for name in sorted(self._voter_names)
        ]
