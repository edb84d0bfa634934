"""Keep the targets that take new work.

Left out are targets that have said that they leave and, where a list of
targets for requests is asked for, those of evacuated or disallowed failure
domains.
"""

import collections.abc

from bambooring.balancing import domains as domains_module
from bambooring.balancing import leaving as leaving_module
from bambooring.balancing import runs as runs_module
from bambooring.targets import messages as targets


class TargetPool:
    """The targets of all services, as one entry instance knows them.

    :param known_domains: all failure domains of the cluster, empty if they
        aren't known
    """

    __slots__ = ('by_service', 'domains', 'leaving')

    def __init__(
        self, known_domains: collections.abc.Iterable[str] = ()
    ) -> None:
        self.by_service: dict[str, dict[str, targets.Target]] = {}
        self.domains = domains_module.DomainFilter(known_domains)
        self.leaving = leaving_module.LeavingRuns()

    def set_targets(
        self, usable_targets: collections.abc.Iterable[targets.Target]
    ) -> None:
        """Replace the targets that take new work."""
        by_service: dict[str, dict[str, targets.Target]] = {}
        for target in usable_targets:
            by_service.setdefault(target.service, {})[target.id] = target
        self.by_service = by_service
        self.leaving.set_known_runs(self.list_runs())

    def list_ids(self) -> set[str]:
        """Return the ids of all targets."""
        return {
            target_id
            for service_targets in self.by_service.values()
            for target_id in service_targets
        }

    def list_runs(self) -> set[runs_module.Run]:
        """Return the runs of all targets."""
        return {
            runs_module.get_run(target)
            for service_targets in self.by_service.values()
            for target in service_targets.values()
        }

    def has_target(self, target: targets.Target) -> bool:
        """Return whether a run of a target takes new work.

        It may, although its failure domain is evacuated.
        """
        service_targets = self.by_service.get(target.service, {})
        known = service_targets.get(target.id)
        return (
            known is not None
            and known.born_ms == target.born_ms
            and not self.leaving.is_marked(target)
        )

    def find_target(self, target_id: str) -> targets.Target | None:
        """Return the run that takes new work under an id."""
        for service_targets in self.by_service.values():
            if target_id in service_targets:
                return service_targets[target_id]
        return None

    def list_targets(
        self, service: str, allowed_domains: domains_module.Domains = None
    ) -> collections.abc.Iterable[targets.Target]:
        """Return the targets of a service that may get requests.

        :param service: the service's name
        :param allowed_domains: the failure domains whose targets count
        """
        return self.domains.select(
            self._list_announced(service), allowed_domains
        )

    def _list_announced(
        self, service: str
    ) -> collections.abc.Iterator[targets.Target]:
        """Yield the targets of a service that take new work."""
        for target in self.by_service.get(service, {}).values():
            if not self.leaving.is_marked(target):
                yield target

    def is_evacuated(
        self, service: str, allowed_domains: domains_module.Domains = None
    ) -> bool:
        """Return whether a service lacks targets only by evacuations.

        :param service: the service's name
        :param allowed_domains: the failure domains whose targets count
        """
        return self.domains.lacks_only_evacuated(
            self._list_announced(service), allowed_domains
        )
