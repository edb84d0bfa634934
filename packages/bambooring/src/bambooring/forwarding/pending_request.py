"""Process one caller's request until it has its final response."""

import structlog

from bambooring.balancing import state as balancing
from bambooring.crashes import checks
from bambooring.crashes import state as crashes
from bambooring.forwarding import access_log
from bambooring.forwarding import arrivals
from bambooring.forwarding import attempt as attempt_module
from bambooring.forwarding import attempt_stream
from bambooring.forwarding import caller_response
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import errors
from bambooring.forwarding import forwarder as forwarder_module
from bambooring.forwarding import messages
from bambooring.forwarding import protocols
from bambooring.forwarding import rejections
from bambooring.forwarding import suspicions
from bambooring.forwarding import waiting_request
from bambooring import metrics
from bambooring_core.http1 import errors as http1_errors
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server

LOG = structlog.get_logger(__name__)


class PendingRequest(waiting_request.WaitingRequest):
    """A caller's request until it has its final response.

    The forwarder creates one for each admitted request. It listens to the
    request's attempts, of which at most one is active, and decides on
    retries. Points in time are in the reactor's seconds.
    """

    def __init__(
        self,
        *,
        forwarder: forwarder_module.Forwarder,
        exchange: server.Exchange,
        request: messages.CallerRequest,
        admission: decisions.Admission,
        service: str,
        policy_version: int,
        lease_age_s: float,
        urgency: int | None,
        traits: arrivals.Traits,
    ) -> None:
        super().__init__(
            forwarder=forwarder,
            request=request,
            received_s=exchange.request.received_s,
            admission=admission,
            service=service,
            urgency=urgency,
            traits=traits,
        )
        self._exchange = exchange
        self._policy_version = policy_version
        self._lease_age_s = lease_age_s
        self._caller = caller_response.CallerResponse(
            exchange=exchange,
            progress=self.progress,
            reactor=forwarder.reactor,
            last_event_id=request.last_event_id
            if self.route.is_resumable
            else None,
        )
        self._attempt_records: list[access_log.AttemptRecord] = []
        self._attempt: attempt_module.Attempt | None = None
        # Its error response is forwarded if no retry succeeds.
        self._failed_attempt: attempt_module.Attempt | None = None
        self._is_over = False
        self._deadline_timer = forwarder.reactor.call_later(
            self.deadline_s - forwarder.reactor.now(), self._expire
        )
        exchange.on_disconnect = self._handle_caller_gone
        exchange.on_drained = self._resume_reading

    def send_to_target(self, choice: balancing.Choice) -> None:
        """Start an attempt at a target that the balancer has chosen."""
        self.progress.attempt_count += 1
        self.tried_targets.add(choice.target.id)
        probe = self.suspicion.begin_attempt()
        self._attempt = self._forwarder.start_attempt(self, choice)
        self._attempt.probe = probe
        self._attempt_records.append(self._attempt.record)

    def make_attempt_metadata(
        self, target_id: str
    ) -> messages.AttemptMetadata:
        """Return what an attempt tells its target besides the request."""
        last_event_id = self._caller.delivered_events.last_id
        if last_event_id is None:
            last_event_id = self.request.last_event_id
        return messages.AttemptMetadata(
            target_id=target_id,
            account=self.account.name if self.account else '',
            time_left_s=self.get_time_left_s(),
            last_event_id=last_event_id,
            urgency=self.standing.urgency
            if self.standing is not None and self.is_stream
            else None,
        )

    def read_response_head(
        self, head: http1.ResponseHead
    ) -> messages.TargetResponse:
        """Decode the head of a target's response."""
        return self._forwarder.read_response_head(head)

    def record_statements(self, attempt: attempt_module.Attempt) -> None:
        """Record what the head of a response says of the target itself."""
        self._forwarder.record_statements(attempt)

    def hold_answer(self, size: int) -> None:
        """Account for the bytes of an answer that are buffered."""
        self._exchange.hold_answer(size)

    def start_forwarding(self, attempt: attempt_module.Attempt) -> None:
        """Begin to forward a response that is not buffered.

        The head of a stream is sent with its first complete event.
        """
        self._forwarder.balancer.record_response_started(self.service)
        assert attempt.response is not None
        if attempt.is_event_stream:
            attempt.stream = self._make_stream(attempt)
            return
        if self._caller.is_started:
            # The caller has a part of a stream, and this is none.
            attempt.abort()
            self.handle_failure(attempt, 'no_stream')
            return
        if decisions.is_unproved_promise(self.route, attempt.response):
            attempt.abort()
            self.handle_failure(attempt, 'unproved_promise')
            return
        self._caller.start(attempt.response)

    def _make_stream(
        self, attempt: attempt_module.Attempt
    ) -> attempt_stream.AttemptStream:
        return attempt_stream.AttemptStream(
            attempt=attempt,
            forwarder=self._forwarder,
            caller=self._caller,
            route=self.route,
            service=self.service,
            handle_event=lambda age_s: self._record_event(attempt, age_s),
            handle_stall=self._resume_elsewhere,
        )

    def forward_data(
        self, attempt: attempt_module.Attempt, data: bytes
    ) -> None:
        """Forward a part of the body; of a stream, its complete events."""
        if attempt.stream is None:
            self._caller.write(data)
        else:
            self._forward_events(attempt, attempt.stream, data)
            self.hold_answer(attempt.stream.partial_bytes)
        if self._caller.is_congested and not attempt.is_over:
            attempt.call.pause()

    def _forward_events(
        self,
        attempt: attempt_module.Attempt,
        stream: protocols.EventStream,
        data: bytes,
    ) -> None:
        try:
            stream.forward(data)
        except errors.EventStreamError as error:
            if attempt.is_over:
                return
            LOG.warning(
                'event stream aborted',
                request=self.request.attempt_id,
                target=attempt.target.id,
                error=str(error),
            )
            attempt.abort()
            self.handle_failure(attempt, 'stream_gap')

    def _record_event(
        self, attempt: attempt_module.Attempt, age_s: float
    ) -> None:
        """Record an event of a stream.

        :param attempt: the attempt that receives it
        :param age_s: the time since the stream's first event
        """
        attempt.has_begun = True
        if age_s >= const.STREAM_PROGRESS_S and not attempt.has_progress:
            attempt.has_progress = True
            self.suspicion.record_progress()

    def _resume_elsewhere(self) -> None:
        """Continue a stalled stream at another target, if one is free."""
        attempt = self._attempt
        if attempt is None or attempt.is_over or self._caller.is_congested:
            return
        if not self._forwarder.dispatcher.may_dispatch(self):
            return
        if not self._claim_retry('stalled'):
            return
        self._abort_attempt('stalled')
        self._forwarder.dispatcher.dispatch_or_queue(self)

    def _resume_reading(self) -> None:
        if self._attempt is not None:
            self._attempt.call.resume()

    def handle_completion(self, attempt: attempt_module.Attempt) -> None:
        """Forward a complete response, or retry a request that failed."""
        response = attempt.response
        assert response is not None
        attempt.has_begun = True
        if self._may_hide_crash(attempt):
            self._complete_unless_crashed(attempt)
            return
        self._complete(attempt, response)

    def _may_hide_crash(self, attempt: attempt_module.Attempt) -> bool:
        """Return whether a stream may have ended with its target's crash.

        One without a length ends in the same way as one that is whole.
        """
        return (
            attempt.stream is not None
            and not attempt.has_length
            and not attempt.stream.has_broken_off
            and self._forwarder.balancer.has_target(attempt.target)
        )

    def _complete_unless_crashed(
        self, attempt: attempt_module.Attempt
    ) -> None:
        """Ask whether the target still runs, and complete the response.

        If it doesn't answer in time, the stream counts as whole.
        """
        assert attempt.response is not None
        response = attempt.response

        def handle_result(result: checks.CheckResult) -> None:
            if self._attempt is not attempt:
                return
            if result is checks.CheckResult.ENDED:
                self.handle_failure(attempt, 'closed_early')
            else:
                self._complete(attempt, response)

        self.suspicion.check_target(attempt.target, handle_result)

    def _complete(
        self,
        attempt: attempt_module.Attempt,
        response: messages.TargetResponse,
    ) -> None:
        if self._is_proved_whole(attempt):
            self.suspicion.record_answer()
        if self._should_retry_failure(attempt, response):
            self.progress.may_have_run = True
            self._failed_attempt = attempt
            self._close_attempt(attempt, f'status_{response.status}')
            if self._forwarder.balancer.record_server_error(attempt.target.id):
                self._forwarder.eject_target(attempt.target.id, 'server_error')
            self._forwarder.dispatcher.dispatch_or_queue(self)
            return
        if attempt.stream is not None and attempt.stream.has_broken_off:
            # Whatever its framing says, the stream has been broken off.
            self.handle_failure(attempt, 'closed_early')
            return
        self._close_attempt(attempt, f'status_{response.status}')
        if self._caller.is_started and not attempt.is_forwarding:
            # Instead of the rest of a stream the target sent something else.
            self.give_up(const.Reason.TARGET_FAILED)
            return
        self._forwarder.balancer.record_response_started(self.service)
        if decisions.is_unproved_promise(self.route, response):
            self.progress.may_have_run = True
            self.give_up(const.Reason.TARGET_FAILED)
            return
        if response.is_success:
            self._record_success(attempt)
        self._complete_response(attempt, response)
        self._finish('answered', response.status)

    def _is_proved_whole(self, attempt: attempt_module.Attempt) -> bool:
        """Return whether a target has answered whole, for all that is known.

        An error in the place of a stream says nothing of its request.
        """
        if attempt.stream is None:
            return not self.is_stream
        return not attempt.stream.has_broken_off

    def _should_retry_failure(
        self,
        attempt: attempt_module.Attempt,
        response: messages.TargetResponse,
    ) -> bool:
        """Return whether to retry a failed request, which spends a retry."""
        if response.status < 500 or attempt.is_forwarding:
            return False
        return self._claim_retry('server_error')

    def _record_success(self, attempt: attempt_module.Attempt) -> None:
        now_s = self._forwarder.reactor.now()
        self._forwarder.balancer.record_success(
            attempt.target.id,
            self.service,
            now_s - attempt.began_s,
            now_s,
            len(self.request.body) + attempt.received_bytes,
        )

    def _complete_response(
        self,
        attempt: attempt_module.Attempt,
        response: messages.TargetResponse,
    ) -> None:
        if attempt.is_forwarding:
            self._caller.end(response)
        else:
            self._caller.respond(response, bytes(attempt.buffered_body))

    def handle_refusal(self, attempt: attempt_module.Attempt) -> None:
        """Retry a request that the target provably does not run."""
        response = attempt.response
        assert response is not None
        outcome = f'refused_{response.status}'
        if response.asked_rest_s is not None:
            outcome += f' rest={round(response.asked_rest_s * 1000)}ms'
        self._close_attempt(attempt, outcome)
        self.progress.refused_count += 1
        if response.is_misdirected:
            self._forwarder.eject_target(attempt.target.id, 'other_target')
        elif response.asked_rest_s is not None:
            # The others may be sound, so this is no sign of a broken group.
            self.progress.resting_count += 1
            self.tried_targets.discard(attempt.target.id)
        else:
            self._forwarder.balancer.record_refusal(
                attempt.target.id,
                self.service,
                self._forwarder.reactor.now(),
            )
            self.tried_targets.discard(attempt.target.id)
        self._retry_or_give_up(const.Reason.TARGET_REFUSED)

    def handle_failure(
        self, attempt: attempt_module.Attempt, failure: str
    ) -> None:
        """Retry a request whose attempt failed, if that is allowed."""
        may_be_crash = self._may_be_crash(attempt, failure)
        self._close_attempt(attempt, failure, may_be_crash=may_be_crash)
        if attempt.may_have_run:
            self.progress.may_have_run = True
        else:
            self.progress.refused_count += 1
        if failure == http1_errors.Failure.NOT_WRITTEN:
            # The permit expired here, which says nothing of the target.
            self.tried_targets.discard(attempt.target.id)
        else:
            self._forwarder.eject_target(attempt.target.id, failure)
        if not may_be_crash:
            self._retry_after_failure()
            return

        def handle_result(result: checks.CheckResult) -> None:
            attempt.end_probe()
            self._retry_after_failure()

        self.suspicion.check_target(attempt.target, handle_result)

    def _may_be_crash(
        self, attempt: attempt_module.Attempt, failure: str
    ) -> bool:
        """Return whether the target may have crashed before its answer's end.

        A target that is leaving ends without having crashed.
        """
        return suspicions.may_be_crash(
            failure
        ) and self._forwarder.balancer.has_target(attempt.target)

    def _retry_after_failure(self) -> None:
        self._retry_or_give_up(const.Reason.TARGET_FAILED)

    def _retry_or_give_up(self, reason: const.Reason) -> None:
        if self._is_over:
            return
        if self._caller.is_started and not self._caller.has_events:
            self.give_up(reason)
        elif self.suspicion.decide().is_forbidden:
            self.give_up(const.Reason.SUSPECT)
        elif self._forwarder.dispatcher.refuse_for_rests(self):
            return
        elif self._claim_retry(reason.value):
            self._forwarder.dispatcher.dispatch_or_queue(self)
        else:
            self.give_up(reason)

    def _claim_retry(self, reason: str) -> bool:
        """Spend a retry if the route and the retry budget allow it.

        :param reason: why the request is retried, as a metric label
        :returns: whether to retry
        """
        if self.suspicion.decide().is_forbidden:
            return False
        time_left_s = self.get_time_left_s()
        if not decisions.may_retry(self.route, self.progress, time_left_s):
            return False
        return self._forwarder.spend_retry(reason)

    def _close_attempt(
        self,
        attempt: attempt_module.Attempt,
        outcome: str,
        *,
        may_be_crash: bool = False,
    ) -> None:
        """End an attempt.

        :param attempt: the attempt
        :param outcome: how it ended, as a label for logs
        :param may_be_crash: whether it stays a probe until it is known if
            its target crashed
        """
        self._attempt = None
        attempt.close(outcome)
        if not may_be_crash:
            attempt.end_probe()
        self._forwarder.release_attempt(attempt)

    def handle_silence(self, attempt: attempt_module.Attempt) -> None:
        """Retry a request whose target has sent no response head for long."""
        if not self._claim_retry('silent'):
            return
        attempt.abort()
        self.progress.may_have_run = True
        self._close_attempt(attempt, 'silent')
        self._forwarder.eject_target(attempt.target.id, 'silent')
        self._forwarder.dispatcher.dispatch_or_queue(self)

    def recheck_suspicion(self) -> None:
        """End the request if it has become suspect and isn't answered yet."""
        decision = self.suspicion.decide()
        if decision.status is not crashes.Status.QUARANTINED:
            return
        if self._attempt is not None and self._attempt.has_begun:
            return
        self._abort_attempt('suspect')
        self.give_up(const.Reason.SUSPECT)

    def stop(self) -> None:
        """End the request because the process stops."""
        self._abort_attempt('stopping')
        self.give_up(const.Reason.STOPPING)

    def _expire(self) -> None:
        self._abort_attempt('timeout')
        self.give_up(const.Reason.TIMEOUT)

    def _handle_caller_gone(self) -> None:
        """Abort the attempt, because the caller has disconnected."""
        self._abort_attempt('caller_left')
        self._finish(const.Reason.CALLER_LEFT, 0)

    def _abort_attempt(self, outcome: str) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        attempt.abort()
        if attempt.may_have_run:
            self.progress.may_have_run = True
        self._close_attempt(attempt, outcome)

    def give_up(self, reason: const.Reason) -> None:
        """End a request that no target will answer successfully.

        A response that has started is reset. Otherwise the caller gets a
        target's own error response if there was one, or an error response of
        this instance.

        :param reason: why the request is given up
        """
        if self._is_over:
            return
        if self._caller.is_started:
            self._caller.abort()
            metrics.REFUSALS.labels(
                reason=reason.value, outcome='broken'
            ).inc()
            self._finish(const.Reason.STREAM_BROKEN, 0, reason.value)
            return
        if self._failed_attempt is not None:
            self._forward_failed_response(self._failed_attempt)
            return
        retry_after_s = const.STOPPING_RETRY_AFTER_S
        if reason is not const.Reason.STOPPING:
            retry_after_s = self._forwarder.dispatcher.get_retry_after_s(self)
        error_response = decisions.build_final_error(
            self.progress, reason, retry_after_s
        )
        rejections.send_error(self._exchange, error_response)
        self._finish(error_response.reason, error_response.status)

    def _forward_failed_response(
        self, attempt: attempt_module.Attempt
    ) -> None:
        """Forward a target's error response after retries did not help."""
        response = attempt.response
        assert response is not None
        self._complete_response(attempt, response)
        self._finish('answered', response.status)

    def _finish(self, outcome: str, status: int, detail: str = '') -> None:
        if self._is_over:
            return
        self._is_over = True
        self._deadline_timer.cancel()
        self._forwarder.dispatcher.remove_from_queue(self)
        self._forwarder.remove_request(self)
        if outcome != const.Reason.CALLER_LEFT:
            now_s = self._forwarder.reactor.now()
            self._forwarder.fairness.record_result(
                self._fairness_keys,
                is_served=outcome == 'answered',
                now_s=now_s,
            )
            self._forwarder.dispatcher.order.record_refusal(self, now_s)
        access_log.log_request(
            access_log.RequestRecord(
                request=self.request,
                route=self.route.name,
                account=self.account.name if self.account else '',
                service=self.service,
                policy_version=self._policy_version,
                lease_age_s=self._lease_age_s,
                outcome=str(outcome),
                status=status,
                detail=detail,
                may_have_run=self.progress.may_have_run,
                attempts=self._attempt_records,
                received_s=self.received_s,
                first_byte_s=self._caller.first_byte_s,
                ended_s=self._forwarder.reactor.now(),
                deadline_s=self.deadline_s,
            )
        )
        # Reference cycles keep this object until the next garbage collection;
        # its body is freed at once.
        self.request.body = b''
