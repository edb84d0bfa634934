"""Keep the concurrency limit of each service with streams."""

import collections.abc

from bambooring.balancing import const
from bambooring.balancing import limit as limit_module
from bambooring.balancing import pool as pool_module
from bambooring.balancing import running as running_module
from bambooring.loads import state as loads_state


class ServiceLimits:
    """The concurrency limits by service."""

    __slots__ = ('_by_service',)

    def __init__(self) -> None:
        self._by_service: dict[str, limit_module.ConcurrencyLimit] = {}

    def find(self, service: str) -> limit_module.ConcurrencyLimit | None:
        """Return the limit of a service, None if it has had no streams."""
        return self._by_service.get(service)

    def get(self, service: str) -> limit_module.ConcurrencyLimit:
        """Return the limit of a service, a new one if there is none."""
        return self._by_service.setdefault(
            service, limit_module.ConcurrencyLimit()
        )

    def list_services(self) -> collections.abc.Set[str]:
        """Return the services that have a limit."""
        return self._by_service.keys()

    def get_gap_ms(self, service: str) -> int:
        """Return the mean gap of a service's streams, 0 without any."""
        limit = self._by_service.get(service)
        return round(limit.mean_gap_s * 1000) if limit else 0

    def adjust(
        self,
        pool: pool_module.TargetPool,
        running: running_module.RunningRequests,
        loads: loads_state.ClusterLoads,
    ) -> dict[str, float]:
        """Adjust the limits of all services.

        :param pool: the targets
        :param running: the running requests
        :param loads: what the other instances report
        :returns: by service, the limit per target where there is one
        """
        for service, limit in self._by_service.items():
            limit.close_interval()
            gaps_s = [*loads.list_gaps_s(service), limit.mean_gap_s]
            targets_by_id = pool.by_service.get(service, {})
            slots = max(
                (
                    item.slots or const.DEFAULT_SLOTS_PER_TARGET
                    for item in targets_by_id.values()
                ),
                default=0,
            )
            total = sum(map(running.count_running, targets_by_id))
            limit.adjust(
                [item for item in gaps_s if item],
                slots,
                mean_running=total / max(1, len(targets_by_id)),
            )
        return {
            service: limit.max_requests
            for service, limit in self._by_service.items()
            if limit.max_requests != float('inf')
        }
