"""Answer operators' calls to a control replica."""

import collections.abc
import dataclasses
import functools
import typing

import structlog

from bambooring.evacuation import const as evacuation_const
from bambooring.evacuation import errors as evacuation_errors
from bambooring.evacuation import messages as evacuation
from bambooring.evacuation import state as evacuation_state
from bambooring.evacuation import task as evacuation_task
from bambooring.forwarding import dialect as dialect_module
from bambooring.gateway import const
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring_core import codec
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as http1_server
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

_JSON: typing.Final = (b'Content-Type', b'application/json')

SubmitCommand = collections.abc.Callable[..., None]


class OperatorCalls:
    """Publish and read the policy, and evacuate failure domains.

    ``submit`` proposes a command to the control group. ``known_domains`` are
    all failure domains of the cluster, none if they aren't known.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        submit: SubmitCommand,
        get_term: collections.abc.Callable[[], int],
        get_evacuations: collections.abc.Callable[[], evacuation.Evacuations],
        known_domains: collections.abc.Collection[str],
    ) -> None:
        self._reactor = reactor
        self._submit = submit
        self._get_term = get_term
        self._get_evacuations = get_evacuations
        self._known_domains = known_domains

    def handle(
        self,
        exchange: http1_server.Exchange,
        call: dialect_module.ControlCall,
    ) -> None:
        """Handle a call of an operator.

        :param exchange: how to answer it
        :param call: the call; any other than an operator's is answered with
            404
        """
        match call:
            case dialect_module.PublishPolicyCall():
                self._publish(exchange, call)
            case dialect_module.ReadPolicyCall():
                self._read_policy(exchange)
            case dialect_module.EvacuateCall():
                self._order(exchange, call.failure_domain, is_evacuated=True)
            case dialect_module.WithdrawEvacuationCall():
                self._order(exchange, call.failure_domain, is_evacuated=False)
            case _:
                respond(exchange, 404, 'unknown call')

    def _publish(
        self,
        exchange: http1_server.Exchange,
        call: dialect_module.PublishPolicyCall,
    ) -> None:
        command = policy.Publish(
            version=call.policy.version,
            digest=call.digest,
            document=policy_state.compress(call.document),
        )
        self._submit(
            command,
            const.PUBLISH_TIMEOUT_S,
            functools.partial(
                self._respond_to_publish, exchange, command.version
            ),
        )

    def _respond_to_publish(
        self,
        exchange: http1_server.Exchange,
        version: int,
        reply: bytes | None,
    ) -> None:
        if reply is None:
            LOG.info('policy publication timed out', version=version)
            respond(exchange, 503, 'no majority in time')
            return
        published = codec.unpack(reply)
        LOG.info(
            'policy published',
            version=version,
            held=published.version,
            outcome=published.outcome,
            term=self._get_term(),
        )
        if published.outcome is policy.PublishOutcome.CONFLICT:
            respond(exchange, 409, 'other content under this version')
        else:
            respond(exchange, 200, '')

    def _read_policy(self, exchange: http1_server.Exchange) -> None:
        self._submit(
            policy.Consult(is_whole=True),
            const.READ_TIMEOUT_S,
            functools.partial(_respond_to_read, exchange),
        )

    def _order(
        self,
        exchange: http1_server.Exchange,
        failure_domain: str,
        *,
        is_evacuated: bool,
    ) -> None:
        """Evacuate a failure domain, or withdraw its evacuation."""
        evacuations = self._get_evacuations()
        order = evacuation.Order(
            failure_domain=failure_domain,
            is_evacuated=is_evacuated,
            revision=evacuations.revision,
        )
        try:
            evacuation_state.check_domain(
                failure_domain, self._known_domains, evacuations
            )
        except evacuation_errors.UnknownDomainError as error:
            evacuation_task.record_unproposed(order, 'unknown_domain')
            respond(exchange, 404, str(error))
            return
        deadline_s = self._reactor.now() + evacuation_const.ORDER_TIMEOUT_S
        self._reactor.call_later(
            evacuation_const.ORDER_DELAY_S,
            functools.partial(self._propose, exchange, order, deadline_s),
        )

    def _propose(
        self,
        exchange: http1_server.Exchange,
        order: evacuation.Order,
        deadline_s: float,
    ) -> None:
        """Propose an order unless its caller has gone.

        The caller resends it elsewhere and may give the opposite one next.
        """
        if exchange.is_done:
            evacuation_task.record_unproposed(order, 'abandoned')
            return
        self._submit(
            order,
            max(0.0, deadline_s - self._reactor.now()),
            functools.partial(
                self._respond_to_order, exchange, order, deadline_s
            ),
        )

    def _respond_to_order(
        self,
        exchange: http1_server.Exchange,
        order: evacuation.Order,
        deadline_s: float,
        reply: bytes | None,
    ) -> None:
        ordered = codec.unpack(reply) if reply else None
        evacuation_task.record_order(order, ordered)
        if ordered is None:
            respond(exchange, 503, 'no majority in time')
        elif ordered.outcome is evacuation.Outcome.SUPERSEDED:
            # Its caller still waits, so it hasn't been given up.
            latest_order = dataclasses.replace(
                order, revision=ordered.revision
            )
            self._propose(exchange, latest_order, deadline_s)
        elif ordered.outcome is evacuation.Outcome.REFUSED:
            respond(exchange, 422, 'too many failure domains')
        else:
            respond(exchange, 200, '')


def _respond_to_read(
    exchange: http1_server.Exchange, reply: bytes | None
) -> None:
    if reply is None:
        respond(exchange, 503, 'no majority in time')
        return
    document = codec.unpack(reply)
    if not document.version:
        respond(exchange, 503, 'no policy yet')
        return
    if not exchange.is_done:
        body = policy_state.decompress(document.document)
        exchange.respond(200, [_JSON], body)


def respond(exchange: http1_server.Exchange, status: int, detail: str) -> None:
    """Respond to a call unless its caller has gone.

    :param exchange: the call
    :param status: the HTTP status
    :param detail: the response body as text; an empty one sends '{}' as JSON
    """
    if exchange.is_done:
        return
    body = b'{}'
    headers: http1.Headers = [_JSON]
    if detail:
        headers = [(b'Content-Type', b'text/plain')]
        body = f'{detail}\n'.encode()
    exchange.respond(status, headers, body)
