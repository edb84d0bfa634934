"""Decide which failure domains may get requests."""

import collections.abc


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

    @property
    def has_evacuated(self) -> bool:
        """Return whether any failure domain is evacuated."""
        return bool(self._evacuated)

    def is_evacuated(self, domain: str) -> bool:
        """Return whether targets of a failure domain get no requests."""
        return domain in self._evacuated

    @property
    def is_all_evacuated(self) -> bool:
        """Return whether no failure domain of the cluster is left."""
        return bool(self._known) and self._known <= self._evacuated
