"""Accept callers' requests and start their attempts at targets."""

import collections.abc
import random
import types

import structlog

from bambooring.balancing import state as balancing
from bambooring.crashes import task as crashes_task
from bambooring.forwarding import arrivals
from bambooring.forwarding import attempt as attempt_module
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import dialect as dialect_module
from bambooring.forwarding import dispatcher as dispatcher_module
from bambooring.forwarding import errors
from bambooring.forwarding import events
from bambooring.forwarding import fairness as fairness_module
from bambooring.forwarding import forwarder as forwarder_module
from bambooring.forwarding import messages
from bambooring.forwarding import pending_request
from bambooring.forwarding import rejections
from bambooring.forwarding import stalls
from bambooring.forwarding import statements
from bambooring.loads import const as loads_const
from bambooring import metrics
from bambooring.policy import lease as lease_module
from bambooring.policy import state as policy_state
from bambooring.routing import budget as budget_module
from bambooring_core import clock as clock_module
from bambooring_core import decoding
from bambooring_core import errors as core_errors
from bambooring_core.http1 import client
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class Forwarder:
    """Handle all requests that callers send to this entry instance.

    ``policy_table`` is the policy in force, None until one is known.
    ``schedule_load_report`` is called with the longest delay in seconds after
    which the other entry instances should know of a changed load.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        dialect: dialect_module.Dialect,
        balancer: balancing.Balancer,
        lease: lease_module.Lease,
        lease_clock: clock_module.Clock,
        budget: budget_module.RetryBudget,
        crash_guard: crashes_task.CrashGuard,
        rng: random.Random,
        schedule_load_report: collections.abc.Callable[[float], None],
        regions_by_domain: collections.abc.Mapping[
            str, str
        ] = types.MappingProxyType({}),
        make_call: client.CallFactory = client.Call,
    ) -> None:
        self.reactor = reactor
        self.balancer = balancer
        self.fairness = fairness_module.FairnessTracker()
        self.event_log = stalls.EventLog()
        self.event_format = events.EventFormat(dialect.event_fields)
        self.policy_table: policy_state.PolicyTable | None = None
        self.regions_by_domain = regions_by_domain
        self._dialect = dialect
        self._lease = lease
        self._lease_clock = lease_clock
        self._budget = budget
        self.crash_guard = crash_guard
        crash_guard.on_quarantine = self._recheck_suspicions
        self._rng = rng
        self.dispatcher = dispatcher_module.Dispatcher(
            reactor=reactor,
            balancer=balancer,
            budget=budget,
            rng=rng,
            report_load=self.report_load,
        )
        self._schedule_load_report = schedule_load_report
        self._make_call = make_call
        self._arrivals = arrivals.ArrivalTracker()
        self._pending_requests: set[forwarder_module.PendingRequest] = set()

    @property
    def pending_count(self) -> int:
        """Return how many requests have no final response yet."""
        return len(self._pending_requests)

    def handle(self, exchange: server.Exchange) -> None:
        """Handle a complete request from a caller.

        :param exchange: the request, and how to respond to it
        """
        try:
            request = decoding.contain(
                'request',
                lambda: self._dialect.read_request(exchange.request),
            )
        except errors.RequestMalformedError as error:
            error_response = messages.ErrorResponse(
                status=400, reason=const.Reason.MALFORMED
            )
            self._reject(exchange, '', error_response, str(error))
            return
        except core_errors.DecoderFaultError as error:
            # It has not run; another release may understand it.
            error_response = messages.ErrorResponse(
                status=503, reason=const.Reason.DECODER_FAULT
            )
            self._reject(exchange, '', error_response, str(error))
            return
        lease_now_s = self._lease_clock.now()
        result = decisions.admit(
            self.policy_table,
            request,
            has_lease=self._lease.is_valid(lease_now_s),
            draw=self._rng.random(),
            regions_by_domain=self.regions_by_domain,
        )
        if isinstance(result, messages.ErrorResponse):
            self._reject(exchange, request.attempt_id, result)
            return
        self._budget.deposit()
        assert self.policy_table is not None
        service = policy_state.draw_service(result.route.services, self._rng)
        pending = pending_request.PendingRequest(
            forwarder=self,
            exchange=exchange,
            request=request,
            admission=result,
            service=service,
            policy_version=self.policy_table.version,
            lease_age_s=self._lease.get_age_s(lease_now_s),
            urgency=self.policy_table.urgencies.find(
                service, result.route, result.account
            ),
            traits=self._arrivals.classify(
                result.route.name, request.prompt_tokens, request.time_left_s
            ),
        )
        self._pending_requests.add(pending)
        self.dispatcher.dispatch_or_queue(pending)

    def _reject(
        self,
        exchange: server.Exchange,
        attempt_id: str,
        error_response: messages.ErrorResponse,
        detail: str = '',
    ) -> None:
        rejections.send_error(exchange, error_response)
        lease_age_s = self._lease.get_age_s(self._lease_clock.now())
        LOG.info(
            'request refused',
            request=attempt_id,
            reason=error_response.reason,
            status=error_response.status,
            detail=detail,
            policy_version=self.policy_table.version
            if self.policy_table
            else 0,
            has_lease=lease_age_s < self._lease.duration_s,
        )

    def start_attempt(
        self,
        pending: forwarder_module.PendingRequest,
        choice: balancing.Choice,
    ) -> attempt_module.Attempt:
        """Send a request to a target."""
        attempt = attempt_module.Attempt(
            listener=pending,
            reactor=self.reactor,
            make_call=self._make_call,
            request=pending.request,
            choice=choice,
            expects_stream=pending.is_stream,
        )
        headers = self._dialect.write_attempt_headers(
            pending.request, pending.make_attempt_metadata(choice.target.id)
        )
        permit = self.balancer.cold.take_permit(choice.target)
        if permit is not None:
            attempt.call.may_write = permit.is_valid
        self.balancer.add_request(choice.target.id, attempt.unread_tokens)
        self.balancer.bodies.add(choice.target.id, attempt.body_bytes)
        self.balancer.rests.record_request(
            choice.target, attempt.attempt_id, self.reactor.now()
        )
        self.report_load()
        metrics.DOMAIN_REQUESTS.labels(
            domain=self.balancer.classify_domain(choice.target)
        ).inc()
        LOG.info(
            'request sent to target',
            request=pending.request.attempt_id,
            target=choice.target.id,
            target_born=choice.target.born_ms,
            running=choice.running,
            candidates=choice.candidate_count,
            is_cold=permit is not None,
            parts=pending.request.prompt_parts[: const.MAX_LOGGED_PARTS],
            report_age_ms=round(choice.oldest_report_age_s * 1000),
            urgency=pending.standing.urgency if pending.standing else None,
        )
        attempt.send(headers, pending.silence_timeout_s)
        return attempt

    def read_response_head(
        self, head: http1.ResponseHead
    ) -> messages.TargetResponse:
        """Decode the head of a target's response."""
        return self._dialect.read_response_head(head)

    def record_statements(self, attempt: attempt_module.Attempt) -> None:
        """Record what the head of a response says of its target."""
        statements.record_statements(
            attempt, self.balancer, self.reactor.now()
        )

    def release_attempt(self, attempt: attempt_module.Attempt) -> None:
        """Remove an ended attempt from its target's load.

        A queued request may then use the free slot.
        """
        self.balancer.remove_request(attempt.target.id, attempt.unread_tokens)
        self.balancer.bodies.remove(attempt.target.id, attempt.body_bytes)
        self.balancer.rests.record_end(attempt.target, attempt.attempt_id)
        service = attempt.target.service
        self.dispatcher.slot_shares.record_freed(service)
        self.dispatcher.order.record_release(service, self.reactor.now())
        # Where others wait for the slot, it is worth a report of its own.
        self._schedule_load_report(
            loads_const.LOAD_REPORT_MIN_INTERVAL_S
            if self.dispatcher.order.is_contended(service)
            else loads_const.FREED_SLOT_REPORT_DELAY_S
        )
        self.reactor.call_soon(self.dispatcher.dispatch_queued)

    def record_prompt_read(self, attempt: attempt_module.Attempt) -> None:
        """Record that a target has read an attempt's prompt."""
        if not attempt.unread_tokens:
            return
        self.balancer.record_prompt_read(
            attempt.target.id, attempt.unread_tokens
        )
        attempt.unread_tokens = 0
        self._schedule_load_report(loads_const.FREED_SLOT_REPORT_DELAY_S)

    def report_load(self) -> None:
        """Report the changed load to the other entry instances at once."""
        self._schedule_load_report(0.0)

    def spend_retry(self, reason: str) -> bool:
        """Take a retry from the retry budget.

        :param reason: why the request is retried, as a metric label
        :returns: whether the budget allows it
        """
        if self._budget.try_withdraw(self.reactor.now()):
            metrics.RETRIES.labels(reason=reason).inc()
            return True
        metrics.RETRIES_DENIED.inc()
        return False

    def eject_target(self, target_id: str, reason: str) -> None:
        """Exclude a failed target from new requests for a while.

        :param target_id: the target
        :param reason: the failure, as a label for logs and metrics
        """
        pause_s = self.balancer.record_failure(target_id, self.reactor.now())
        if self.balancer.peer_health is not None:
            self.report_load()
        metrics.EJECTIONS.labels(reason=reason).inc()
        LOG.info(
            'target passed over',
            target=target_id,
            reason=reason,
            for_ms=round(pause_s * 1000),
        )

    def _recheck_suspicions(self) -> None:
        """End the requests that a new crash has made suspect."""
        for pending in list(self._pending_requests):
            pending.recheck_suspicion()

    def stop_all(self) -> None:
        """End every pending request, because the process stops."""
        for pending in list(self._pending_requests):
            pending.stop()

    def remove_request(self, pending: forwarder_module.PendingRequest) -> None:
        """Forget a request that has ended."""
        self._pending_requests.discard(pending)
