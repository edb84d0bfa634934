"""Select targets by the failure domains that may get requests."""

import collections.abc

from bambooring.targets import messages as targets

# A subset of the failure domains, None for all of them.
Domains = frozenset[str] | None


class DomainFilter:
    """The evacuated failure domains, as one entry instance knows them.

    :param known_domains: all failure domains of the cluster, empty if they
        aren't known
    """

    __slots__ = ('_evacuated', '_known')

    def __init__(
        self, known_domains: collections.abc.Iterable[str] = ()
    ) -> None:
        self._known = frozenset(known_domains)
        self._evacuated: frozenset[str] = frozenset()

    def set_evacuated(self, domains: collections.abc.Iterable[str]) -> None:
        """Replace the evacuated failure domains."""
        self._evacuated = frozenset(domains)

    def select(
        self,
        all_targets: collections.abc.Iterable[targets.Target],
        allowed: Domains,
    ) -> collections.abc.Iterable[targets.Target]:
        """Return the targets that may get requests.

        :param all_targets: the targets to select from
        :param allowed: the failure domains that may be used
        """
        # Most requests are bound to no region while nothing is evacuated.
        if allowed is None and not self._evacuated:
            return all_targets
        return (
            target
            for target in all_targets
            if target.failure_domain not in self._evacuated
            and (allowed is None or target.failure_domain in allowed)
        )

    def lacks_only_evacuated(
        self,
        all_targets: collections.abc.Iterable[targets.Target],
        allowed: Domains,
    ) -> bool:
        """Return whether evacuations alone leave no target.

        :param all_targets: the targets to select from
        :param allowed: the failure domains that may be used
        """
        if not self._evacuated:
            return False
        domains = self._known if allowed is None else allowed
        if domains and domains <= self._evacuated:
            return True
        has_evacuated = False
        for target in all_targets:
            if allowed is not None and target.failure_domain not in allowed:
                continue
            if target.failure_domain not in self._evacuated:
                return False
            has_evacuated = True
        return has_evacuated
