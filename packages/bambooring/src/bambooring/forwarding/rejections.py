"""Send the error responses that this instance generates."""

from bambooring.forwarding import messages
from bambooring import metrics
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server


def send_error(
    exchange: server.Exchange, error_response: messages.ErrorResponse
) -> None:
    """Send an error response that this instance generates to a caller.

    :param exchange: the caller's exchange
    :param error_response: the response
    """
    metrics.REFUSALS.labels(
        reason=str(error_response.reason), outcome=str(error_response.status)
    ).inc()
    headers: http1.Headers = [(b'Content-Type', b'text/plain')]
    if error_response.retry_after_s is not None:
        value = f'{error_response.retry_after_s:.3f}'
        headers.append((b'Retry-After', value.encode()))
    body = f'{error_response.reason}\n'.encode()
    exchange.respond(error_response.status, headers, body)
