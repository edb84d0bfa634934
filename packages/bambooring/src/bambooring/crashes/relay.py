"""Pass on what entry instances tell of crashes, at a control replica."""

import collections.abc

from bambooring.crashes import messages
from bambooring.crashes import state
from bambooring.crashes import task
from bambooring_core import links
from bambooring_core import reactor as reactor_module


class CrashRelay:
    """Pass on each piece of news once, and keep it for new links.

    ``get_links`` returns the links to all entry instances and to the other
    control replicas.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        get_links: collections.abc.Callable[[], list[links.Link]],
    ) -> None:
        self._reactor = reactor
        self._get_links = get_links
        self._ledger = state.CrashLedger()

    def handle(self, link: links.Link, news: messages.CrashNews) -> None:
        """Take over news and pass on what of it is new.

        :param link: the link that it came from
        :param news: the news
        """
        merged = self._ledger.merge(news, self._reactor.now())
        if merged.changed.is_empty:
            return
        task.log_news(merged.changed, link.name)
        for other in self._get_links():
            if other is not link:
                other.send(merged.changed)

    def send_all(self, link: links.Link) -> None:
        """Send a newly linked process all that is known."""
        news = self._ledger.list_all(self._reactor.now())
        if not news.is_empty:
            link.send(news)
