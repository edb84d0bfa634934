"""Send evacuations to entry instances, and apply them there."""

import collections.abc

import structlog

from bambooring.evacuation import messages
from bambooring import metrics
from bambooring_core import links

LOG = structlog.get_logger(__name__)


def record_order(
    order: messages.Order, ordered: messages.Ordered | None
) -> None:
    """Log and count an order that was proposed.

    :param order: the order
    :param ordered: the reply, None if there was none in time
    """
    outcome = str(ordered.outcome) if ordered else 'timeout'
    _record_outcome(order, outcome, ordered.revision if ordered else 0)


def record_unproposed(order: messages.Order, outcome: str) -> None:
    """Log and count an order that isn't proposed.

    :param order: the order
    :param outcome: the reason, as a metric label
    """
    _record_outcome(order, outcome, 0)


def _record_outcome(
    order: messages.Order, outcome: str, revision: int
) -> None:
    metrics.EVACUATION_ORDERS.labels(outcome=outcome).inc()
    LOG.info(
        'evacuation ordered',
        domain=order.failure_domain,
        is_evacuated=order.is_evacuated,
        outcome=outcome,
        revision=revision,
    )


class EvacuationPublisher:
    """Send what a control replica knows to the linked entry instances.

    Every replica sends to every instance: the message is small, and none of
    them may miss it because the replica of its own failure domain is down.
    """

    def __init__(
        self,
        *,
        get_evacuations: collections.abc.Callable[[], messages.Evacuations],
        get_entry_links: collections.abc.Callable[[], list[links.Link]],
    ) -> None:
        self._get_evacuations = get_evacuations
        self._get_entry_links = get_entry_links
        self._sent_revision = 0

    def greet(self, link: links.Link) -> None:
        """Send a newly linked entry instance what is evacuated."""
        evacuations = self._get_evacuations()
        if evacuations.revision:
            link.send(evacuations)

    def send_changes(self) -> None:
        """Send all entry instances what has changed, if anything has."""
        evacuations = self._get_evacuations()
        if evacuations.revision == self._sent_revision:
            return
        self._sent_revision = evacuations.revision
        metrics.EVACUATED_DOMAINS.set(len(evacuations.failure_domains))
        entry_links = self._get_entry_links()
        LOG.info(
            'evacuations changed',
            revision=evacuations.revision,
            domains=evacuations.failure_domains,
            entries=len(entry_links),
        )
        for link in entry_links:
            link.send(evacuations)

    def handle_request(
        self, link: links.Link, request: messages.EvacuationsRequest
    ) -> None:
        """Answer an entry instance that knows of a newer revision.

        A replica that hasn't applied that revision yet sends it later, as it
        does with each change.
        """
        evacuations = self._get_evacuations()
        if evacuations.revision > request.revision:
            link.send(evacuations)


class EvacuationReceiver:
    """Keep the newest evacuations that an entry instance knows.

    ``apply_domains`` is called with the evacuated failure domains whenever
    they change.
    """

    def __init__(
        self, apply_domains: collections.abc.Callable[[list[str]], None]
    ) -> None:
        self._apply_domains = apply_domains
        self.revision = 0

    def apply(self, message: messages.Evacuations, source: str) -> None:
        """Apply evacuations unless the same or newer ones are known.

        :param message: the evacuations
        :param source: the name of the replica that sent them
        """
        if message.revision <= self.revision:
            return
        before = self.revision
        self.revision = message.revision
        metrics.EVACUATED_DOMAINS.set(len(message.failure_domains))
        LOG.info(
            'failure domains evacuated',
            revision=message.revision,
            before=before,
            domains=message.failure_domains,
            source=source,
        )
        self._apply_domains(message.failure_domains)

    def request_newer(self, link: links.Link, revision: int) -> bool:
        """Ask a replica for its evacuations if they are newer than known.

        :param link: the replica that told of the revision
        :param revision: the revision
        :returns: whether it is newer
        """
        if revision <= self.revision:
            return False
        LOG.info(
            'newer evacuations exist',
            newest=revision,
            held=self.revision,
            source=link.name,
        )
        link.send(messages.EvacuationsRequest(revision=self.revision))
        return True
