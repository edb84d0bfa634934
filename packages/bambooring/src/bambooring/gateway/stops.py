"""Stop an entry instance without cutting off its callers."""

import structlog

from bambooring.forwarding import messages as forwarding_messages
from bambooring.forwarding import task as forwarding
from bambooring.gateway import const
from bambooring_core.http1 import server as http1_server
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class GracefulStop:
    """Stop once no connection is open, or shortly before being killed.

    New connections are accepted for a while, and idle ones are closed after
    that. Requests that still run shortly before the time limit are stopped.

    :param stop_s: the time from the request to stop until the process is
        killed, in seconds
    :param reactor: is finished at the end
    :param forwarder: has the requests
    :param server: has the callers' connections
    """

    __slots__ = (
        '_finish_by_s',
        '_forwarder',
        '_reactor',
        '_server',
        '_stop_s',
        'is_begun',
    )

    def __init__(
        self,
        *,
        stop_s: float,
        reactor: reactor_module.Reactor,
        forwarder: forwarding.Forwarder,
        server: http1_server.Server,
    ) -> None:
        self._stop_s = stop_s
        self._reactor = reactor
        self._forwarder = forwarder
        self._server = server
        self._finish_by_s = 0.0
        self.is_begun = False

    def begin(self) -> None:
        """Begin to stop, unless that has been begun before."""
        if self.is_begun:
            return
        self.is_begun = True
        self._server.is_closing = True
        now_s = self._reactor.now()
        running_s = self._stop_s - const.STOP_RESERVE_S
        self._finish_by_s = now_s + self._stop_s - const.STOP_KILL_MARGIN_S
        LOG.info('stopping', running=self._forwarder.pending_count)
        self._forwarder.dispatcher.plan_stop(
            forwarding_messages.PlannedStop(
                accept_until_s=now_s + const.STOP_ACCEPT_S,
                end_s=now_s + running_s,
            )
        )
        self._reactor.call_later(
            const.STOP_ACCEPT_S, lambda: self._stop_when_closed()
        )
        self._reactor.call_later(running_s, self._stop_now)

    def _stop_when_closed(self) -> None:
        self._server.close_idle(const.STOP_IDLE_TIMEOUT_S)
        if self._server.stop_accepting():
            self._reactor.finish()
            return
        self._reactor.call_later(
            const.STOP_IDLE_TIMEOUT_S / 2, self._stop_when_closed
        )

    def _stop_now(self) -> None:
        """Answer the requests that still run, then end.

        Requests that arrive until then are refused.
        """
        self._forwarder.stop_all()
        self._reactor.call_later(const.STOP_LINGER_S, self._finish)

    def _finish(self) -> None:
        """End once all responses are sent, or shortly before being killed."""
        if (
            self._server.has_unsent_output
            and self._reactor.now() < self._finish_by_s
        ):
            self._reactor.call_later(const.STOP_LINGER_S, self._finish)
            return
        self._reactor.finish()
