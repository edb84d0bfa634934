"""Form the first group of voters, once, from replicas with empty disks."""

from bambooring.replication import messages


class GroupBootstrap:
    """Collect greetings until every replica is known to be fresh.

    Only the replica with the least name forms the group, and only while all
    others have told it, knowing its present id, that they are fresh. A
    replica that lost its disk later finds the others not fresh and waits
    to be taken in.
    """

    __slots__ = ('_fresh_ids', '_id', '_name', '_voter_names', 'latest_ids')

    def __init__(self, *, id: int, name: str, voter_names: list[str]) -> None:
        self._id = id
        self._name = name
        self._voter_names = voter_names
        self._fresh_ids: dict[str, int] = {}
        self.latest_ids: dict[str, int] = {}

    def add_greeting(self, greeting: messages.Greeting) -> None:
        """Take in a greeting.

        :param greeting: what another replica says of itself
        """
        self.latest_ids[greeting.name] = greeting.id
        if greeting.is_fresh and greeting.your_id == self._id:
            self._fresh_ids[greeting.name] = greeting.id
        else:
            self._fresh_ids.pop(greeting.name, None)

    def remove_peer(self, name: str) -> None:
        """Take note that the link to a replica ended."""
        self._fresh_ids.pop(name, None)

    def is_superseded(self, name: str, id: int) -> bool:
        """Tell whether a replica of this name has come with another id."""
        return self.latest_ids.get(name, id) != id

    def choose_members(self) -> list[messages.Member] | None:
        """Return the voters to form with, or None to wait.

        Without names there is nothing to form: the group exists already.
        """
        others = [name for name in self._voter_names if name != self._name]
        if not self._voter_names or self._name != min(self._voter_names):
            return None
        if any(name not in self._fresh_ids for name in others):
            return None
        ids = self._fresh_ids | {self._name: self._id}
        return [
            messages.Member(id=ids[name], name=name)
            for name in sorted(self._voter_names)
        ]
