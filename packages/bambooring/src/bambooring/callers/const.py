"""Define paths, headers, limits and reason codes of the callers' HTTP API."""

import typing

PATH_CHAT: typing.Final = '/v1/chat/completions'
PATH_SERVICES: typing.Final = '/services/'

HEADER_IDEMPOTENCY_KEY: typing.Final = 'Idempotency-Key'
HEADER_OUTCOME: typing.Final = 'X-Bambooring-Outcome'
HEADER_REASON: typing.Final = 'X-Bambooring-Reason'
HEADER_REQUEST_ID: typing.Final = 'X-Request-Id'

EVENT_STREAM_TYPE: typing.Final = 'text/event-stream'
# A longer response is streamed instead of sent with a Content-Length.
BUFFERED_LIMIT_BYTES: typing.Final = 256 * 1024
# HTTP/1.0 has no chunked coding, so a longer response fails.
HTTP_1_0_BUFFERED_LIMIT_BYTES: typing.Final = 4 * 1024 * 1024
# A caller that leaves more than this unread is too slow.
SEND_BUFFER_LIMIT_BYTES: typing.Final = 4 * 1024 * 1024
# How long a caller should wait whose large body found no memory.
MEMORY_RETRY_AFTER_S: typing.Final = 1.0
DISCONNECT_CHECK_INTERVAL_S: typing.Final = 0.25
BODY_READ_BYTES: typing.Final = 64 * 1024
# Larger bodies are parsed one at a time.
SMALL_BODY_BYTES: typing.Final = 64 * 1024
# Retry-After is lengthened by up to this share of itself, at random.
RETRY_AFTER_JITTER: typing.Final = 1.0

# Estimate of a chat request's work: a prompt token costs less than a
# completion token, and the text's first characters are its prefix.
DEFAULT_COMPLETION_TOKENS: typing.Final = 256
CHARACTERS_PER_TOKEN: typing.Final = 4
PROMPT_TOKEN_COST: typing.Final = 0.1
PREFIX_CHARACTERS: typing.Final = 1024
TOKENS_PER_COST_UNIT: typing.Final = 100.0

HEADERS_NOT_FORWARDED: typing.Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'idempotency-key',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
        'x-request-priority',
    )
)

REASON_SERVICE_NOT_ALLOWED: typing.Final = 'service_not_allowed'
REASON_AMBIGUOUS_LENGTH: typing.Final = 'ambiguous_length'
REASON_CALLER_GONE: typing.Final = 'caller_gone'
REASON_CALLER_TOO_SLOW: typing.Final = 'caller_too_slow'
REASON_INCOMPLETE_BODY: typing.Final = 'incomplete_body'
REASON_INVALID_BODY: typing.Final = 'invalid_body'
REASON_INVALID_IDEMPOTENCY_KEY: typing.Final = 'invalid_idempotency_key'
REASON_ACCOUNT_KEY_REQUIRED: typing.Final = 'account_key_required'
REASON_INSTANCE_LEAVING: typing.Final = 'instance_leaving'
REASON_METHOD_NOT_ALLOWED: typing.Final = 'method_not_allowed'
REASON_NO_CONFIGURATION: typing.Final = 'no_configuration'
REASON_NO_SUCH_PATH: typing.Final = 'no_such_path'
REASON_NO_SUCH_SERVICE: typing.Final = 'no_such_service'
REASON_PROTOCOL_TOO_OLD: typing.Final = 'protocol_too_old'
REASON_TOO_LARGE: typing.Final = 'too_large'
