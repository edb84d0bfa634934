"""Run a control replica for entry instances and operators.

The thread of its reactor owns all state; operators' HTTP requests are served
by other threads.
"""

import collections.abc
import time
import typing

import structlog

from bambooring.bookings import messages as bookings
from bambooring.configuration import messages as configuration
from bambooring import const
from bambooring.evacuation import const as evacuation_const
from bambooring.evacuation import messages as evacuation
from bambooring.evacuation import task as evacuation_task
from bambooring.operators import api
from bambooring.operators import const as operators_const
from bambooring.operators import messages as operators
from bambooring.operators import state as operators_state
from bambooring import reactor_calls
from bambooring import replica as replica_module
from bambooring.replication import storage as storage_module
from bambooring_core import codec
from bambooring_core import const as core_const
from bambooring_core.dispatch import messages as dispatch
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import operations
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class Control(replica_module.ReplicaHost):
    """Control replica that holds the configuration and the claims of bookings.

    It implements the backend of :class:`bambooring.operators.api.Api`.
    """

    proposable_commands = (
        configuration.Change,
        bookings.Claim,
        bookings.Settle,
        bookings.Release,
        evacuation.Order,
    )

    def __init__(
        self,
        settings: dict[str, typing.Any],
        *,
        reactor: reactor_module.Reactor,
        key: bytes,
        incarnation: int,
        disk: storage_module.Disk,
        get_time: collections.abc.Callable[[], float] = time.time,
        make_hub: links.HubFactory = links.LinkHub,
    ) -> None:
        self._settings = settings
        self._replicas: dict[str, str] = settings[const.CONF_REPLICAS]
        identity = identity_module.Identity(
            cluster=settings[const.CONF_CLUSTER],
            instance=settings[const.CONF_INSTANCE],
            role=core_const.ROLE_CONTROL,
            failure_domain=settings[const.CONF_FAILURE_DOMAIN],
            address=settings[const.CONF_LISTEN][const.CONF_PEERS],
            incarnation=incarnation,
        )
        super().__init__(
            reactor=reactor,
            identity=identity,
            voter_names=sorted(self._replicas),
            has_open_membership=False,
            key=key,
            disk=disk,
            get_time=get_time,
            make_hub=make_hub,
        )
        self._instance_reports = operators_state.InstanceReports()
        self._evacuation_publisher = evacuation_task.EvacuationPublisher(
            get_evacuations=lambda: self._state_machine.evacuation.evacuations,
            get_entry_links=self._get_entry_links,
        )
        self._subscriber_revisions: dict[links.Link, int] = {}
        self._status_replies: dict[int, list[operators.StatusReply]] = {}

    def run(self) -> None:
        """Run until stopped."""
        server = operations.make_server(
            self._settings[const.CONF_LISTEN][const.CONF_OPERATORS],
            const.OPERATOR_THREADS,
            lambda: bool(self._replicator.leader_name),
            api.Api(self, self._settings[const.CONF_OPERATOR_KEYS]),
        )
        with self._hub, server:
            self.set_up()
            LOG.info('control replica runs', address=self._identity.address)
            self._reactor.run()
        LOG.info('control replica stopped')

    def set_up(self) -> None:
        """Start to link to the other replicas and schedule periodic work."""
        for name, address in self._replicas.items():
            if name != self._identity.instance:
                self._hub.keep_connected(address)
        self.set_up_replica()

    def _get_entry_links(self) -> list[links.Link]:
        return self._hub.get_links(core_const.ROLE_ENTRY)

    def _after_flush(self) -> None:
        self._evacuation_publisher.send_changes()
        self._push_records()

    def _push_records(self) -> None:
        revision = self._state_machine.records.revision
        for link, sent_revision in list(self._subscriber_revisions.items()):
            if sent_revision < revision:
                self._subscriber_revisions[link] = revision
                link.send(
                    self._state_machine.records.get_records_since(
                        sent_revision
                    )
                )

    def handle_link_up(self, link: links.Link) -> None:
        """Send a newly linked entry instance what is evacuated."""
        super().handle_link_up(link)
        assert link.peer is not None
        if link.peer.role == core_const.ROLE_ENTRY:
            self._evacuation_publisher.greet(link)

    def handle_link_down(self, link: links.Link) -> None:
        """Remove the subscription of a link that ended."""
        self._subscriber_revisions.pop(link, None)
        super().handle_link_down(link)

    def _handle_other_message(
        self, link: links.Link, message: typing.Any
    ) -> None:
        match message:
            case configuration.Subscribe():
                self._subscriber_revisions[link] = message.revision
                link.send(
                    self._state_machine.records.get_records_since(
                        message.revision
                    )
                )
            case configuration.Report():
                self._instance_reports.add(message, self._reactor.now())
            case operators.StatusReply():
                self._status_replies.get(message.query, []).append(message)
            case _:
                super()._handle_other_message(link, message)

    def propose_change(
        self, change: configuration.Change
    ) -> configuration.ChangeAnswer | None:
        """Propose a change and wait for its answer; for other threads.

        :param change: the change
        :returns: the answer, None if there was none in time
        """
        timeout_s = operators_const.REPLY_TIMEOUT_S
        data = reactor_calls.call_and_wait(
            self._reactor,
            lambda reply: self.submit(change, timeout_s, reply),
            timeout_s + 1,
        )
        return codec.unpack(data) if data else None

    def order_evacuation(
        self, failure_domain: str, *, is_evacuated: bool
    ) -> evacuation.Ordered | None:
        """Order or withdraw an evacuation and wait; for other threads.

        :param failure_domain: the failure domain
        :param is_evacuated: whether to evacuate it
        :returns: the reply, None if there was none in time
        """
        order = evacuation.Order(
            failure_domain=failure_domain,
            is_evacuated=is_evacuated,
            revision=self._state_machine.evacuation.evacuations.revision,
        )
        timeout_s = evacuation_const.ORDER_TIMEOUT_S
        data = reactor_calls.call_and_wait(
            self._reactor,
            lambda reply: self.submit(order, timeout_s, reply),
            timeout_s + 1,
        )
        ordered = codec.unpack(data) if data else None
        evacuation_task.record_order(order, ordered)
        return ordered

    def list_records(self) -> configuration.Records:
        """Return every record, none if the reactor does not reply in time."""
        all_records: configuration.Records | None = (
            reactor_calls.call_and_wait(
                self._reactor,
                lambda reply: reply(
                    self._state_machine.records.get_records_since(0)
                ),
                operators_const.REPLY_TIMEOUT_S,
            )
        )
        return all_records or configuration.Records(
            since=0, revision=0, records=[]
        )

    def order_leave(self, target_id: str) -> None:
        """Tell a target to leave, through the entry instances.

        Callable from any thread.
        """
        self._reactor.post(lambda: self._send_leave_order(target_id))

    def _send_leave_order(self, target_id: str) -> None:
        for link in self._get_entry_links():
            link.send(dispatch.Leave(target=target_id))

    def get_status(self) -> dict[str, typing.Any]:
        """Return the status for operators, empty without a reply in time."""
        status = reactor_calls.call_and_wait(
            self._reactor,
            self._start_status_query,
            operators_const.REPLY_TIMEOUT_S,
        )
        return status or {}

    def _start_status_query(self, reply: reactor_calls.ReplyCallback) -> None:
        query_id = self._random.getrandbits(63)
        self._status_replies[query_id] = []
        for link in self._choose_status_links():
            link.send(operators.StatusQuery(query=query_id))
        self._reactor.call_later(
            operators_const.STATUS_COLLECT_S,
            lambda: reply(self._finish_status_query(query_id)),
        )

    def _choose_status_links(self) -> list[links.Link]:
        """Return the link of one entry instance for each failure domain."""
        links_by_domain: dict[str, links.Link] = {}
        for link in self._get_entry_links():
            assert link.peer is not None
            links_by_domain.setdefault(link.peer.failure_domain, link)
        return list(links_by_domain.values())

    def _finish_status_query(self, query_id: int) -> dict[str, typing.Any]:
        replies = self._status_replies.pop(query_id)
        replica = self._replicator.replica
        members = replica.get_committed_members() if replica else {}
        reports = self._instance_reports.get_fresh(self._reactor.now())
        return {
            'replica': self._identity.instance,
            'leader': self._replicator.leader_name,
            'term': self._replicator.term,
            'members': sorted(members.values()),
            'member_ids': {
                name: str(member_id) for member_id, name in members.items()
            },
            'revision': self._state_machine.records.revision,
            'claims': len(self._state_machine.claims),
            'evacuated_domains': list(
                self._state_machine.evacuation.evacuations.failure_domains
            ),
            'instances': [
                {
                    'instance': report.instance,
                    'failure_domain': report.failure_domain,
                    'held': report.held,
                    'in_force': report.in_force,
                    'running': report.running,
                    'is_leaving': report.is_leaving,
                    'unknown_schemas': report.unknown_schemas,
                }
                for report in reports
            ],
            'targets': operators_state.merge_targets(replies),
        }
