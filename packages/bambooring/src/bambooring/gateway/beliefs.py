"""Log and count decisions that rest on the reports of other instances."""

import collections.abc

import structlog

from bambooring.balancing import peer_health as peer_health_module
from bambooring.balancing import spill as spill_module
from bambooring import metrics

LOG = structlog.get_logger(__name__)


def log_health_changes(
    changes: collections.abc.Iterable[peer_health_module.HealthChange],
) -> None:
    """Log the targets that others' reports have ejected or let return."""
    for change in changes:
        effect = 'ejected' if change.is_ejected else 'returned'
        metrics.PEER_EJECTIONS.labels(effect=effect).inc()
        LOG.info(
            'target suspected by others',
            target=change.target_id,
            target_born=change.born_ms,
            effect=effect,
            instances=change.words,
            is_prober=change.is_prober,
            report_age_ms=round(change.report_age_s * 1000),
        )


def log_share_changes(spill: spill_module.Spill | None) -> None:
    """Log the services whose share for other failure domains has changed."""
    if spill is None:
        return
    for change in spill.take_changes():
        LOG.info(
            'share of requests that leaves changed',
            service=change.service,
            share=round(change.share, 2),
            to={
                domain: round(weight, 2)
                for domain, weight in change.weights.items()
            },
            slots={
                domain: round(view.capacity, 1)
                for domain, view in change.views.items()
            },
            load={
                domain: round(view.demand, 1) if view.is_known else None
                for domain, view in change.views.items()
            },
            price_ms=round(change.price_s * 1000, 1),
            report_age_ms=round(change.report_age_s * 1000),
        )
    for service, share in spill.list_shares():
        metrics.LEAVING_SHARE.labels(service=service).set(share)
