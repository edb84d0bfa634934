"""Follow which other processes there are, as control replicas tell."""

import collections.abc

from bambooring.balancing import state as balancing
from bambooring.loads import task as loads_task
from bambooring.targets import messages as targets
from bambooring_core import const as core_const
from bambooring_core import links


class TopologyReceiver:
    """Merge the topologies of all linked control replicas and apply them.

    They determine the other entry instances that get load reports, this
    instance's share of the retries, and the control replicas to link to.

    :param own_address: the link address of this instance
    :param seeds: the link addresses of some control replicas
    :param hub: the links of this instance
    :param load_reporter: reports load to the other entry instances
    :param balancer: is told of the other entry instances
    :param set_retry_budget: called with the number of entry instances
    """

    __slots__ = (
        '_balancer',
        '_domains_by_address',
        '_hub',
        '_load_reporter',
        '_own_address',
        '_seeds',
        '_set_retry_budget',
        '_topologies',
    )

    def __init__(
        self,
        *,
        own_address: str,
        seeds: collections.abc.Iterable[str],
        hub: links.Hub,
        load_reporter: loads_task.LoadReporter,
        balancer: balancing.Balancer,
        set_retry_budget: collections.abc.Callable[[int], None],
    ) -> None:
        self._own_address = own_address
        self._seeds = seeds
        self._hub = hub
        self._load_reporter = load_reporter
        self._balancer = balancer
        self._set_retry_budget = set_retry_budget
        self._topologies: dict[links.Link, targets.Topology] = {}
        # The failure domain of each other entry instance, by link address.
        self._domains_by_address: dict[str, str] = {}

    def remove(self, link: links.Link) -> None:
        """Drop the topology that came from a lost control replica."""
        self._topologies.pop(link, None)

    def apply(self, link: links.Link, topology: targets.Topology) -> None:
        """Apply what a control replica tells, with what the others told.

        :param link: the link to the control replica
        :param topology: the processes that it knows
        """
        self._topologies[link] = topology
        entries: dict[str, str] = {}
        controls = set(self._seeds)
        for replica_topology in self._topologies.values():
            for address, domain in _list_entries(replica_topology):
                entries[address] = domain or entries.get(address, '')
            controls.update(replica_topology.controls)
        entries.pop(self._own_address, None)
        if entries != self._domains_by_address:
            self._domains_by_address = entries
            self._load_reporter.set_instances(entries)
            self._balancer.set_instances(entries)
        self._set_retry_budget(len(entries) + 1)
        self._connect_controls(controls)

    def _connect_controls(self, controls: set[str]) -> None:
        """Link to these control replicas, and to no others."""
        linked = {
            peer.dialled_address
            for peer in self._hub.get_links(core_const.ROLE_CONTROL)
        }
        for address in controls:
            self._hub.keep_connected(address)
        for address in self._hub.get_dialled_addresses() - controls - linked:
            self._hub.disconnect(address)


def _list_entries(
    topology: targets.Topology,
) -> collections.abc.Iterator[tuple[str, str]]:
    """Yield the address and the failure domain of each entry instance.

    The domain is '' if the topology comes from an older replica.
    """
    domains = topology.entry_domains or [''] * len(topology.entries)
    yield from zip(topology.entries, domains)
