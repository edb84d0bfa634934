"""Build the messages and proposals for a call in progress."""

from bambooring.bookings import const as bookings_const
from bambooring.bookings import messages as bookings
from bambooring.dispatch import calls
from bambooring.dispatch import messages
from bambooring_core.dispatch import messages as wire


def make_start(
    active_call: calls.ActiveCall,
    attempt: calls.Attempt,
    now: float,
) -> wire.Start:
    """Return the message that starts an attempt.

    :param active_call: the call
    :param attempt: its new attempt
    :param now: the current time in seconds
    """
    call = active_call.call
    return wire.Start(
        attempt=attempt.id,
        incarnation=attempt.incarnation,
        request_id=call.request_id,
        service=call.service.name,
        account=call.account.name,
        weight=call.account.weight,
        priority=call.account.priority,
        kind=call.kind,
        lane=call.lane,
        cost=call.cost,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        start_within_s=max(0.0, active_call.start_deadline - now),
        end_within_s=max(0.0, active_call.end_deadline - now),
        is_chat=call.service.is_chat,
        prefix=call.prefix_hash,
    )


def make_resume_request(attempt: calls.Attempt) -> messages.SendToTarget:
    """Return a request for an attempt's output that has not arrived yet."""
    return messages.SendToTarget(
        target=attempt.target,
        message=wire.Resume(
            attempt=attempt.id,
            incarnation=attempt.incarnation,
            offset=attempt.received_bytes,
        ),
    )


def make_claim_proposal(active_call: calls.ActiveCall) -> messages.Propose:
    """Return the proposal to claim a booking."""
    call = active_call.call
    command = bookings.Claim(
        account=call.account.name,
        service=call.service.name,
        key=call.idempotency_key,
        digest=call.digest,
        claim=active_call.claim_id,
    )
    return messages.Propose(
        call_id=call.id,
        command=command,
        timeout_s=bookings_const.CLAIM_TIMEOUT_S,
    )


def make_release_proposal(active_call: calls.ActiveCall) -> messages.Propose:
    """Return the proposal to release the claim of a booking."""
    call = active_call.call
    command = bookings.Release(
        account=call.account.name,
        service=call.service.name,
        key=call.idempotency_key,
        claim=active_call.claim_id,
    )
    return messages.Propose(
        call_id=0,
        command=command,
        timeout_s=bookings_const.RELEASE_TIMEOUT_S,
    )


def make_settle_proposal(
    active_call: calls.ActiveCall, call_id: int, timeout_s: float
) -> messages.Propose:
    """Return the proposal to record the response of a booking.

    :param active_call: the call
    :param call_id: the call that awaits the reply, 0 for none
    :param timeout_s: how long to try, in seconds
    """
    attempt = active_call.attempt
    assert attempt is not None
    assert attempt.head is not None
    body = b''.join(attempt.buffered_parts)
    is_within_limit = len(body) <= bookings_const.MAX_KEPT_BODY_BYTES
    command = bookings.Settle(
        account=active_call.call.account.name,
        service=active_call.call.service.name,
        key=active_call.call.idempotency_key,
        claim=active_call.claim_id,
        status=attempt.head.status,
        headers=attempt.head.headers,
        body=body if is_within_limit else b'',
        is_body_kept=is_within_limit,
    )
    return messages.Propose(
        call_id=call_id, command=command, timeout_s=timeout_s
    )


def is_event_stream(opened: wire.Opened) -> bool:
    """Return whether a response is a stream of server-sent events."""
    return opened.status == 200 and any(
        header.name.lower() == 'content-type'
        and header.value.startswith('text/event-stream')
        for header in opened.headers
    )


def has_same_head(first: wire.Opened, second: wire.Opened) -> bool:
    """Return whether two responses have the same status and headers."""
    return first.status == second.status and first.headers == second.headers
