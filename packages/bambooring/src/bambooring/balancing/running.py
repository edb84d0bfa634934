"""Count the requests that run at each target.

This instance counts its own, the others report theirs.
"""

from bambooring.loads import peers
from bambooring.loads import state as loads_state


class RunningRequests:
    """The running requests of all entry instances, as one of them knows them.

    ``own_loads`` has, by target, what this instance has running there.
    """

    __slots__ = ('_loads', 'own_loads')

    def __init__(self, loads: loads_state.ClusterLoads) -> None:
        self._loads = loads
        self.own_loads: dict[str, peers.RunningLoad] = {}

    def add_request(self, target_id: str, tokens: int) -> None:
        """Count a request that is sent to a target.

        :param target_id: the target
        :param tokens: the tokens of its prompt
        """
        load = self.own_loads.setdefault(target_id, peers.RunningLoad())
        load.running += 1
        load.tokens += tokens

    def record_prompt_read(self, target_id: str, tokens: int) -> None:
        """Stop counting a prompt as unread; its request goes on.

        :param target_id: the target
        :param tokens: the tokens that the request was added with
        """
        self.own_loads[target_id].tokens -= tokens

    def remove_request(self, target_id: str, tokens: int) -> None:
        """Stop counting a request of this instance at a target.

        :param target_id: the target
        :param tokens: the tokens of its prompt, 0 if they have been read
        """
        load = self.own_loads[target_id]
        load.running -= 1
        load.tokens -= tokens
        if not load.running:
            del self.own_loads[target_id]

    def sum_load(self, target_id: str) -> peers.RunningLoad:
        """Return what all instances have running at a target."""
        load = self._loads.get_load(target_id)
        own_load = self.own_loads.get(target_id)
        if own_load is None:
            return load
        return peers.RunningLoad(
            running=load.running + own_load.running,
            tokens=load.tokens + own_load.tokens,
        )

    def count_running(self, target_id: str) -> int:
        """Return how many requests all instances have running at a target."""
        running = self._loads.count_running(target_id)
        own_load = self.own_loads.get(target_id)
        return running if own_load is None else running + own_load.running
