"""Make the HTTP servers of an entry instance, with their limits."""

import structlog

from bambooring.gateway import messages as gateway
from bambooring import metrics
from bambooring.policy import messages as policy
from bambooring_core.http1 import const as http1_const
from bambooring_core.http1 import memory
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as http1_server
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


def make_server(
    settings: gateway.Settings,
    *,
    reactor: reactor_module.Reactor,
    address: str,
    handle: http1_server.RequestHandler,
    budget: memory.MemoryBudget,
) -> http1_server.Server:
    """Return a server with the limits that hold until there is a policy.

    :param settings: the settings of the instance
    :param reactor: runs the server
    :param address: where it listens
    :param handle: called with each request
    :param budget: the memory for what is held for callers and targets
    """
    return http1_server.Server(
        reactor=reactor,
        address=address,
        limits=http1.Limits(
            max_header_bytes=http1_const.MAX_HEADER_BYTES,
            max_body_bytes=http1_const.MAX_BODY_BYTES,
            header_timeout_s=http1_const.HEADER_TIMEOUT_S,
            idle_timeout_s=http1_const.IDLE_TIMEOUT_S,
        ),
        handle=handle,
        count_refused=_count_unreadable,
        budget=budget,
        max_descriptors=memory.get_callers_descriptors(
            settings.max_descriptors
        ),
    )


def make_limits(limits: policy.CallerLimits) -> http1.Limits:
    """Return the limits of a server by those of a policy."""
    return http1.Limits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


def _count_unreadable(reason: str) -> None:
    metrics.REFUSALS.labels(reason=reason, outcome='unread').inc()
    LOG.info('request unreadable', reason=reason)
