"""Log and count what an entry instance decides by others' reports."""

import collections.abc

import structlog

from bambooring.balancing import peer_health as peer_health_module
from bambooring import metrics

LOG = structlog.get_logger(__name__)


def log_health_changes(
    changes: collections.abc.Iterable[peer_health_module.HealthChange],
) -> None:
    """Log the targets that others' word has ejected or let return."""
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
