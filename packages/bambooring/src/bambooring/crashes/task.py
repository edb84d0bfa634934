"""Notice crashes of targets, and exchange what is known of them."""

import collections.abc

import structlog

from bambooring.crashes import causes as causes_module
from bambooring.crashes import checks
from bambooring.crashes import const
from bambooring.crashes import messages
from bambooring.crashes import state
from bambooring import metrics
from bambooring.targets import messages as targets
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class CrashGuard:
    """Keep requests that crash targets away from them, for one instance.

    ``send_news`` sends news to all other instances. ``on_quarantine`` is
    called when a crash has become known, so that requests on their way can be
    checked again.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        send_news: collections.abc.Callable[[messages.CrashNews], None],
        make_check: checks.CheckFactory = checks.TargetCheck,
    ) -> None:
        self._reactor = reactor
        self._send_news = send_news
        self._make_check = make_check
        self._ledger = state.CrashLedger()
        # By crash: the functions to call once it is known to be one or not.
        self._waiting: dict[int, list[checks.ResultCallback]] = {}
        self.on_quarantine: collections.abc.Callable[[], None] = lambda: None

    def decide(self, causes: causes_module.Causes) -> state.Decision:
        """Decide whether a request may be sent to a target."""
        return self._ledger.decide(causes, self._reactor.now())

    def begin_probe(self, decision: state.Decision, request_id: str) -> float:
        """Record that a probe is sent to a target.

        :param decision: the decision to probe
        :param request_id: the request's id
        :returns: until when no other probe is sent, in the reactor's seconds
        """
        LOG.info(
            'suspect tried',
            request=request_id,
            suspect=_format_key(decision.key),
            crashes=decision.crash_count,
        )
        metrics.SUSPECT_PROBES.inc()
        now_s = self._reactor.now()
        self._send(self._ledger.begin_probe(decision.key, now_s))
        return now_s + const.PROBE_TIMEOUT_S

    def end_probe(self, key: int, until_s: float) -> None:
        """Record that a probe may end without a result.

        Nothing changes if it had one, or if another may have begun.

        :param key: the suspect
        :param until_s: what :meth:`begin_probe` returned
        """
        now_s = self._reactor.now()
        if now_s < until_s:
            self._send(self._ledger.end_probe(key, now_s))

    def record_answer(self, causes: causes_module.Causes) -> None:
        """Record that a target has answered a request whole."""
        now_s = self._reactor.now()
        self._tell_cleared(self._ledger.record_answer(causes, now_s))

    def record_progress(self, causes: causes_module.Causes) -> None:
        """Record that an answer goes on, some time after it has begun."""
        now_s = self._reactor.now()
        self._tell_cleared(self._ledger.record_progress(causes, now_s))

    def _tell_cleared(self, news: messages.CrashNews) -> None:
        for clearing in news.acquittals:
            LOG.info(
                'suspect acquitted',
                suspect=_format_key(clearing.key),
                crashes=len(clearing.crash_ids),
                source='own',
            )
        self._send(news)

    def check_target(
        self,
        target: targets.Target,
        causes: causes_module.Causes,
        request_id: str,
        callback: checks.ResultCallback,
    ) -> None:
        """Find out whether a target crashed within a request.

        :param target: the target, which has ended the request's connection
        :param causes: the possible causes in the request
        :param request_id: its id
        :param callback: is called with the result once a crash is recorded
        """
        crash_id = causes_module.compute_crash_id(target.id, target.born_ms)

        def handle_result(result: checks.CheckResult) -> None:
            if result is checks.CheckResult.ENDED:
                self._record_crash(crash_id, target, causes, request_id)
            callback(result)

        waiting = self._waiting.setdefault(crash_id, [])
        waiting.append(handle_result)
        if len(waiting) > 1:
            return
        self._make_check(
            reactor=self._reactor,
            address=target.address,
            callback=lambda result: self._finish_check(
                crash_id, target, result
            ),
        )

    def _finish_check(
        self,
        crash_id: int,
        target: targets.Target,
        result: checks.CheckResult,
    ) -> None:
        LOG.info(
            'target checked',
            target=target.id,
            target_born=target.born_ms,
            outcome=result.value,
        )
        metrics.TARGET_CHECKS.labels(outcome=result.value).inc()
        for handle_result in self._waiting.pop(crash_id):
            handle_result(result)

    def _record_crash(
        self,
        crash_id: int,
        target: targets.Target,
        causes: causes_module.Causes,
        request_id: str,
    ) -> None:
        news = self._ledger.record_crash(
            crash_id,
            causes,
            is_group=bool(target.group),
            now_s=self._reactor.now(),
        )
        for crash in news.crashes:
            LOG.info(
                'target crashed before it answered',
                target=target.id,
                target_born=target.born_ms,
                request=request_id,
                suspects=_format_suspects(crash),
                quarantine_ms=crash.quarantine_ms,
            )
        self._send(news)
        if news.crashes:
            self.on_quarantine()

    def merge(self, news: messages.CrashNews, source: str) -> None:
        """Take over what another instance knows."""
        merged = self._ledger.merge(news, self._reactor.now())
        log_news(merged.changed, source)
        self._send(merged.reply)
        if merged.changed.crashes:
            self.on_quarantine()

    def list_all(self) -> messages.CrashNews:
        """Return all that is known, for an instance that is newly linked."""
        return self._ledger.list_all(self._reactor.now())

    def _send(self, news: messages.CrashNews) -> None:
        if not news.is_empty:
            self._send_news(news)


def log_news(news: messages.CrashNews, source: str) -> None:
    """Log what was new in the news of another instance."""
    for crash in news.crashes:
        LOG.info(
            'crash known',
            suspects=_format_suspects(crash),
            age_ms=crash.age_ms,
            source=source,
        )
    for clearing in news.acquittals:
        LOG.info(
            'suspect acquitted',
            suspect=_format_key(clearing.key),
            crashes=len(clearing.crash_ids),
            source=source,
        )


def _format_suspects(crash: messages.Crash) -> list[str]:
    return [
        f'{suspect.kind.name.lower()} {_format_key(suspect.key)}'
        for suspect in crash.suspects
    ]


def _format_key(key: int) -> str:
    return f'{key:016x}'
