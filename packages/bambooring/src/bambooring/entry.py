"""Run an entry instance on one reactor.

The thread of the reactor owns all state. The threads that serve callers only
use the methods of :class:`bambooring.callers.messages.Backend`.
"""

import collections.abc
import contextlib
import functools
import queue
import random
import socket
import threading
import typing

from returns import pipeline
import structlog

from bambooring.admission import state as admission_state
from bambooring.callers import body_writer
from bambooring.callers import const as callers_const
from bambooring.callers import messages as callers
from bambooring.callers import task as callers_task
from bambooring.callers import unread
from bambooring.configuration import local_store
from bambooring.configuration import messages as configuration
from bambooring.configuration import records
from bambooring import const
from bambooring.dispatch import messages as dispatch
from bambooring.dispatch import state as dispatch_state
from bambooring.evacuation import messages as evacuation
from bambooring.evacuation import task as evacuation_task
from bambooring.membership import messages as membership
from bambooring.membership import state as membership_state
from bambooring.membership import task as membership_task
from bambooring import metrics
from bambooring.operators import messages as operators
from bambooring.quarantine import state as quarantine_state
from bambooring.replication import messages as replication
from bambooring.replication import proposer as proposer_module
from bambooring.routing import state as routing_state
from bambooring_core import allocator
from bambooring_core import codec
from bambooring_core import const as core_const
from bambooring_core.dispatch import messages as wire
from bambooring_core import http
from bambooring_core.http1 import const as http1_const
from bambooring_core.http1 import memory
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import operations
from bambooring_core import reactor as reactor_module
from bambooring_core import uploads

LOG = structlog.get_logger(__name__)

# Passed to sys.setswitchinterval when an entry instance is made.
THREAD_SWITCH_INTERVAL_S = 0.001
# A leaving instance stops after so long without a request.
IDLE_BEFORE_STOP_S = 0.3


class Entry:
    """Entry instance: it serves callers and dispatches calls to targets.

    It implements the callers' backend and handles the links of its hub.
    """

    def __init__(
        self,
        settings: dict[str, typing.Any],
        *,
        reactor: reactor_module.Reactor,
        key: bytes,
        incarnation: int,
        make_hub: links.HubFactory = links.LinkHub,
        parse: local_store.ParseRecord = records.parse,
    ) -> None:
        now = reactor.now()
        self._settings = settings
        self._reactor = reactor
        self._identity = identity_module.Identity(
            cluster=settings[const.CONF_CLUSTER],
            instance=settings[const.CONF_INSTANCE],
            role=core_const.ROLE_ENTRY,
            failure_domain=settings[const.CONF_FAILURE_DOMAIN],
            address=settings[const.CONF_LISTEN][const.CONF_PEERS],
            incarnation=incarnation,
        )
        rng = random.Random(self._identity.incarnation)
        self._hub = make_hub(
            reactor=reactor,
            identity=self._identity,
            key=key,
            handler=self,
        )
        self._directory = membership_state.Directory(
            instance=self._identity.instance,
            failure_domain=self._identity.failure_domain,
        )
        self._router = routing_state.Router(
            failure_domain=self._identity.failure_domain, rng=rng
        )
        self._evacuations = evacuation_task.EvacuationReceiver(
            self._evacuate_domains
        )
        self._quarantine = quarantine_state.Quarantine()
        self._dispatcher = dispatch_state.Dispatcher(
            router=self._router,
            quarantine=self._quarantine,
            rng=rng,
            now=now,
        )
        self._admission = admission_state.Admission(
            max_running=settings[const.CONF_MAX_RUNNING]
        )
        self._record_store = local_store.LocalRecordStore(parse)
        self._proposer = proposer_module.Proposer(rng)
        self._call_ids_by_proposal: dict[int, int] = {}
        self._event_sinks: dict[
            int, callers.EventQueue | body_writer.BodyWriter
        ] = {}
        self._agent_links: dict[str, links.Link] = {}
        self._subscriber_revisions: dict[links.Link, int] = {}
        self._gossiper = membership_task.Gossiper(
            reactor=reactor,
            hub=self._hub,
            directory=self._directory,
            seeds=settings[const.CONF_PEERS],
            make_presence=self._make_presence,
        )
        self._request_counter = _RequestCounter(reactor.now)
        self._leaving_since: float | None = None

    def run(self) -> None:
        """Run until the instance was told to leave and its work is done."""
        listen = self._settings[const.CONF_LISTEN]
        max_body_bytes = self._settings[const.CONF_MAX_BODY_BYTES]
        application = callers_task.Application(self, max_body_bytes)
        body_uploads = self._make_uploads()
        if body_uploads is not None:
            self._reactor.call_every(
                http1_const.RELIEF_INTERVAL_S,
                functools.partial(self._break_off_unread, body_uploads),
            )
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._hub)
            stack.enter_context(
                operations.make_server(
                    listen[const.CONF_OPERATORS],
                    const.OPERATOR_THREADS,
                    self._is_ready,
                )
            )
            stack.enter_context(
                http.HttpServer(
                    address=links.split_address(listen[const.CONF_CALLERS]),
                    application=operations.add_probes(
                        application, self._is_ready
                    ),
                    threads=self._settings[const.CONF_MAX_RUNNING]
                    + const.REFUSAL_THREADS,
                    max_body_bytes=max_body_bytes,
                    make_error=application.make_unreadable_request_error,
                    uploads=body_uploads,
                )
            )
            self.set_up()
            LOG.info('entry instance runs', address=self._identity.address)
            self._reactor.run()
        LOG.info('entry instance stopped')

    def _make_uploads(self) -> uploads.Uploads | None:
        memory_mb = self._settings[const.CONF_MEMORY_MB]
        if not memory_mb:
            return None
        allocator.limit_retained_memory()
        return uploads.Uploads(
            memory.make_budget(memory_mb * const.BYTES_PER_MB)
        )

    def _break_off_unread(self, body_uploads: uploads.Uploads) -> None:
        """Account for unread output, and break off what can't be kept."""
        holders = [
            sink.describe()
            for sink in self._event_sinks.values()
            if isinstance(sink, body_writer.BodyWriter)
        ]
        excess_bytes = body_uploads.hold_output(
            sum(holder.held_bytes for holder in holders)
        )
        for holder in unread.choose_unread(holders, excess_bytes):
            holder.connection.break_off()

    def set_up(self) -> None:
        """Start to link to the control replicas and schedule periodic work."""
        for address in self._settings[const.CONF_CONTROL]:
            self._hub.keep_connected(address)
        self._gossiper.set_up()
        self._reactor.call_every(const.TICK_INTERVAL_S, self._tick)
        self._reactor.call_every(const.REPORT_INTERVAL_S, self._send_report)

    def leave(self) -> None:
        """Start to leave; callable from any thread."""
        self._reactor.post(self._leave)

    def _leave(self) -> None:
        if self._leaving_since is not None:
            return
        LOG.info('entry instance is leaving')
        self._leaving_since = self._reactor.now()
        self._send_report()

    # Called from the threads that serve callers.

    def get_view(self) -> local_store.View:
        """Return the configuration in force."""
        return self._record_store.view

    def get_refusal_reason(self) -> str | None:
        """Return the reason why no calls are accepted, None if they are."""
        if self._is_leave_grace_over():
            return callers_const.REASON_INSTANCE_LEAVING
        if not self._record_store.revision_in_force:
            return callers_const.REASON_NO_CONFIGURATION
        return None

    def is_leaving(self) -> bool:
        """Return whether the instance has been told to leave."""
        return self._leaving_since is not None

    def _is_leave_grace_over(self) -> bool:
        if self._leaving_since is None:
            return False
        grace_s = self._settings[const.CONF_LEAVE_GRACE_S]
        return self._reactor.now() > self._leaving_since + grace_s

    def _is_ready(self) -> bool:
        return not self.is_leaving() and bool(
            self._record_store.revision_in_force
        )

    def begin_request(self) -> None:
        """Add a request to the requests in progress."""
        self._request_counter.increment()

    def end_request(self) -> None:
        """Remove a request from the requests in progress."""
        self._request_counter.decrement()

    def submit(self, call: dispatch.Call, events: callers.EventQueue) -> None:
        """Admit and dispatch a call; its events are put into ``events``."""
        self._reactor.post(lambda: self._submit(call, events))

    def cancel(self, call_id: int) -> None:
        """Cancel a call whose caller has left."""
        self._reactor.post(lambda: self._cancel(call_id))

    def lend_socket(
        self,
        call: dispatch.Call,
        sock: socket.socket,
        is_event_stream: bool,
        end_queue: callers.EventQueue,
    ) -> None:
        """Write the call's response body to its caller's socket."""
        self._reactor.post(
            lambda: self._lend_socket(call, sock, is_event_stream, end_queue)
        )

    def release_call(self, call: dispatch.Call) -> None:
        """Release what is held for a call: its event sink and admission."""
        self._reactor.post(lambda: self._release_call(call))

    # Called in the reactor's thread.

    def _submit(self, call: dispatch.Call, events: callers.EventQueue) -> None:
        now = self._reactor.now()
        admission_result = self._admission.admit(call.account, now)
        if not pipeline.is_successful(admission_result):
            refusal = admission_result.failure()
            events.put(
                dispatch.Failure(
                    status=429,
                    reason=refusal.reason,
                    outcome=wire.Outcome.NOT_RUN,
                    retry_after_s=refusal.retry_after_s,
                )
            )
            return
        self._event_sinks[call.id] = events
        self._perform_effects(self._dispatcher.submit(call, now))

    def _cancel(self, call_id: int) -> None:
        now = self._reactor.now()
        self._perform_effects(self._dispatcher.cancel(call_id, now))

    def _lend_socket(
        self,
        call: dispatch.Call,
        sock: socket.socket,
        is_event_stream: bool,
        end_queue: callers.EventQueue,
    ) -> None:
        writer = body_writer.BodyWriter(
            reactor=self._reactor,
            sock=sock,
            request_id=call.request_id,
            is_event_stream=is_event_stream,
            end_queue=end_queue,
            cancel=lambda: self._cancel(call.id),
        )
        events = self._event_sinks[call.id]
        assert isinstance(events, queue.SimpleQueue)
        self._event_sinks[call.id] = writer
        body_writer.write_queued_events(writer, events)

    def _release_call(self, call: dispatch.Call) -> None:
        if self._event_sinks.pop(call.id, None) is not None:
            self._admission.release(call.account.name)

    def _perform_effects(self, effects: dispatch_state.Effects) -> None:
        for effect in effects:
            match effect:
                case dispatch.SendToCaller():
                    event_sink = self._event_sinks.get(effect.call_id)
                    if event_sink is not None:
                        event_sink.put(effect.event)
                case dispatch.SendToTarget():
                    link = self._agent_links.get(effect.target)
                    if link is not None:
                        link.send(effect.message)
                case dispatch.Propose():
                    self._propose(effect)
                case dispatch.SpreadSuspicions():
                    self._spread_suspicions()

    def _spread_suspicions(self) -> None:
        suspicions = self._quarantine.take_unsent(self._reactor.now())
        if not suspicions:
            return
        gossip = membership.Gossip(suspicions=suspicions)
        for link in self._hub.get_links(core_const.ROLE_ENTRY):
            if link.dialled_address is not None:
                link.send(gossip)

    def _propose(self, effect: dispatch.Propose) -> None:
        proposal_id, effects = self._proposer.submit(
            codec.pack(effect.command),
            self._reactor.now(),
            effect.timeout_s,
        )
        if effect.call_id:
            self._call_ids_by_proposal[proposal_id] = effect.call_id
        self._perform_proposer_effects(effects)

    def _perform_proposer_effects(
        self, effects: proposer_module.Effects
    ) -> None:
        for effect in effects:
            match effect:
                case proposer_module.SendProposal():
                    self._send_proposal(effect)
                case proposer_module.ProposalResult():
                    self._handle_proposal_result(effect)

    def _send_proposal(self, effect: proposer_module.SendProposal) -> None:
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            if link.name == effect.replica:
                link.send(effect.message)

    def _handle_proposal_result(
        self, result: proposer_module.ProposalResult
    ) -> None:
        call_id = self._call_ids_by_proposal.pop(result.proposal_id, None)
        if call_id is None:
            return
        reply = codec.unpack(result.reply) if result.reply else None
        now = self._reactor.now()
        self._perform_effects(
            self._dispatcher.handle_proposal_reply(call_id, reply, now)
        )

    def _tick(self) -> None:
        now = self._reactor.now()
        self._perform_effects(self._dispatcher.tick(now))
        self._perform_proposer_effects(self._proposer.tick(now))
        for announcement in self._directory.drop_expired(now):
            self._remove_expired_target(announcement)
        self._admission.instance_count = self._directory.count_instances()
        self._advance_configuration()
        metrics.RUNNING_REQUESTS.set(self._request_counter.running)
        metrics.TARGETS.set(len(self._router.targets))
        self._stop_when_idle(now)

    def _stop_when_idle(self, now: float) -> None:
        if not self._is_leave_grace_over():
            return
        if len(self._dispatcher) or not self._request_counter.is_idle():
            return
        self._reactor.stop()

    def _evacuate_domains(self, domains: list[str]) -> None:
        self._router.evacuated_domains = frozenset(domains)

    def _remove_expired_target(
        self, announcement: membership.Announcement
    ) -> None:
        if announcement.target not in self._agent_links:
            self._router.remove(announcement.target)
            self._hub.disconnect(announcement.address)
            self._update_target_links(announcement.service)

    def _update_target(self, announcement: membership.Announcement) -> None:
        """Register an announced target with the router and link to it."""
        known_target = self._router.targets.get(announcement.target)
        if (
            known_target is not None
            and known_target.address != announcement.address
        ):
            self._hub.disconnect(known_target.address)
        target = self._router.register(
            routing_state.Target(
                name=announcement.target,
                service=announcement.service,
                failure_domain=announcement.failure_domain,
                address=announcement.address,
                incarnation=announcement.incarnation,
                slots=max(1, announcement.slots),
                is_leaving=announcement.is_leaving,
                is_ready=announcement.is_ready,
            )
        )
        link = self._agent_links.get(announcement.target)
        if link is not None and link.peer is not None:
            is_same_incarnation = link.peer.incarnation == target.incarnation
            target.is_linked = is_same_incarnation
        self._update_target_links(announcement.service)

    def _update_target_links(self, service: str) -> None:
        """Link to this instance's subset of a service's targets.

        Links to others are dropped, unless attempts are running there.
        """
        subset = self._router.choose_subset(service, self._identity.instance)
        for target in self._router.get_targets(service):
            if target.name in subset:
                self._hub.keep_connected(target.address)
            elif not target.own_attempts:
                self._hub.disconnect(target.address)

    def _make_presence(self, sequence: int) -> membership.Presence:
        return membership.Presence(
            instance=self._identity.instance,
            failure_domain=self._identity.failure_domain,
            address=self._identity.address,
            incarnation=self._identity.incarnation,
            sequence=sequence,
            held=self._record_store.revision_held,
            in_force=self._record_store.revision_in_force,
            is_leaving=self.is_leaving(),
        )

    def _advance_configuration(self) -> None:
        """Put the held configuration in force once neighbours hold it too."""
        neighbours = self._directory.get_neighbours()
        held = [presence.held for presence in neighbours]
        if self._record_store.activate_held_revision(
            held, self._reactor.now()
        ):
            revision = self._record_store.revision_in_force
            metrics.REVISION_IN_FORCE.set(revision)
            LOG.info('configuration in force', revision=revision)
            self._gossiper.gossip()
            self._send_report()

    def _send_report(self) -> None:
        report = configuration.Report(
            instance=self._identity.instance,
            failure_domain=self._identity.failure_domain,
            incarnation=self._identity.incarnation,
            held=self._record_store.revision_held,
            in_force=self._record_store.revision_in_force,
            running=self._request_counter.running,
            is_leaving=self.is_leaving(),
            unknown_schemas=self._record_store.view.unknown_schemas,
        )
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            link.send(report)

    def handle_link_up(self, link: links.Link) -> None:
        """Start using a new link; links dialled by the peer need no set-up."""
        assert link.peer is not None
        if link.dialled_address is None:
            return
        if link.peer.role == core_const.ROLE_AGENT:
            self._add_agent_link(link)
            return
        if link.peer.role == core_const.ROLE_CONTROL:
            self._proposer.reachable.add(link.name)
        else:
            suspicions = self._quarantine.list_all(self._reactor.now())
            link.send(membership.Gossip(suspicions=suspicions))
        link.send(
            configuration.Subscribe(revision=self._record_store.revision_held)
        )

    def _add_agent_link(self, link: links.Link) -> None:
        assert link.peer is not None
        self._agent_links[link.name] = link
        target = self._router.targets.get(link.name)
        if target is not None:
            is_same_incarnation = target.incarnation == link.peer.incarnation
            target.is_linked = is_same_incarnation
        self._perform_effects(
            self._dispatcher.link_up(
                link.name, link.peer.incarnation, self._reactor.now()
            )
        )

    def handle_link_down(self, link: links.Link) -> None:
        """Stop using a link that ended."""
        assert link.peer is not None
        self._subscriber_revisions.pop(link, None)
        if link.dialled_address is None:
            return
        match link.peer.role:
            case core_const.ROLE_AGENT:
                self._remove_agent_link(link)
            case core_const.ROLE_CONTROL:
                self._proposer.mark_unreachable(link.name)
            case core_const.ROLE_ENTRY:
                self._directory.forget_peer(link.name)

    def _remove_agent_link(self, link: links.Link) -> None:
        if self._agent_links.get(link.name) is not link:
            return
        del self._agent_links[link.name]
        target = self._router.targets.get(link.name)
        if target is not None:
            target.is_linked = False
        self._dispatcher.link_down(link.name, self._reactor.now())

    def handle_message(self, link: links.Link, message: typing.Any) -> None:
        """Handle a message from a link."""
        now = self._reactor.now()
        match message:
            case wire.Output():
                self._perform_effects(
                    self._dispatcher.handle_output(message, link.name, now)
                )
            case wire.Refused():
                self._perform_effects(
                    self._dispatcher.handle_refusal(message, link.name, now)
                )
            case wire.Ended():
                output = wire.Output(ended=[message])
                self._perform_effects(
                    self._dispatcher.handle_output(output, link.name, now)
                )
            case wire.Load():
                self._router.update_load(link.name, message, now)
            case membership.Announcement():
                if self._directory.handle_announcement(message, now):
                    self._update_target(message)
                    self._gossiper.send_news_soon()
            case membership.Gossip():
                for announcement in self._directory.handle_gossip(
                    message, link.name, now
                ):
                    self._update_target(announcement)
                self._quarantine.merge(message.suspicions, now)
                self._spread_suspicions()
                self._gossiper.send_news_soon()
                self._advance_configuration()
            case replication.Proposed():
                self._perform_proposer_effects(
                    self._proposer.handle_reply(message, link.name, now)
                )
            case _:
                self._receive_configuration(link, message, now)

    def _receive_configuration(
        self, link: links.Link, message: typing.Any, now: float
    ) -> None:
        match message:
            case configuration.Records():
                self._handle_records(link, message, now)
            case configuration.Subscribe():
                self._subscriber_revisions[link] = message.revision
                link.send(
                    self._record_store.get_records_since(message.revision)
                )
            case evacuation.Evacuations():
                self._evacuations.apply(message, link.name)
            case operators.StatusQuery():
                link.send(self._describe_targets(message.query))
            case wire.Leave():
                agent_link = self._agent_links.get(message.target)
                if agent_link is not None:
                    agent_link.send(message)
            case _:
                LOG.warning(
                    'unexpected message ignored', kind=type(message).__name__
                )

    def _handle_records(
        self, link: links.Link, message: configuration.Records, now: float
    ) -> None:
        previous_revision = self._record_store.revision_held
        if not self._record_store.handle_records(message, now):
            link.send(configuration.Subscribe(revision=previous_revision))
            return
        if self._record_store.revision_held == previous_revision:
            return
        metrics.REVISION_HELD.set(self._record_store.revision_held)
        for subscriber, sent_revision in list(
            self._subscriber_revisions.items()
        ):
            if sent_revision < self._record_store.revision_held:
                self._subscriber_revisions[subscriber] = (
                    self._record_store.revision_held
                )
                subscriber.send(
                    self._record_store.get_records_since(sent_revision)
                )
        self._gossiper.gossip()
        self._advance_configuration()

    def _describe_targets(self, query_id: int) -> operators.StatusReply:
        targets = [
            operators.TargetStatus(
                target=target.name,
                service=target.service,
                failure_domain=target.failure_domain,
                address=target.address,
                is_linked=target.is_linked,
                is_ready=target.is_ready,
                is_leaving=target.is_leaving,
                running=target.running,
                queued=target.queued,
                slots=target.slots,
            )
            for target in self._router.targets.values()
        ]
        return operators.StatusReply(query=query_id, targets=targets)


class _RequestCounter:
    """Number of requests in progress, shared by the callers' threads."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self._lock = threading.Lock()
        self._now = now
        self.running = 0
        self._last_change_at = 0.0

    def increment(self) -> None:
        """Add a request."""
        with self._lock:
            self.running += 1
            self._last_change_at = self._now()

    def decrement(self) -> None:
        """Remove a request."""
        with self._lock:
            self.running -= 1
            self._last_change_at = self._now()

    def is_idle(self) -> bool:
        """Return whether no request has been in progress for a while."""
        if self.running:
            return False
        return self._now() > self._last_change_at + IDLE_BEFORE_STOP_S
