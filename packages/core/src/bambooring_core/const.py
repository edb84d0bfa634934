"""Define the limits, intervals and roles that all processes share."""

import typing

PROTOCOL_VERSION: typing.Final = 1

HEARTBEAT_INTERVAL_S: typing.Final = 0.5
MAX_MISSED_HEARTBEATS: typing.Final = 3
HANDSHAKE_TIMEOUT_S: typing.Final = 2.0
CONNECT_TIMEOUT_S: typing.Final = 1.5
REDIAL_MIN_S: typing.Final = 0.05
REDIAL_MAX_S: typing.Final = 1.0

FRAME_LIMIT_BYTES: typing.Final = 16 * 1024 * 1024
OUT_BUFFER_LIMIT_BYTES: typing.Final = 64 * 1024 * 1024
READ_SIZE_BYTES: typing.Final = 256 * 1024
NONCE_BYTES: typing.Final = 16

ROLE_ENTRY: typing.Final = 'entry'
ROLE_CONTROL: typing.Final = 'control'
ROLE_AGENT: typing.Final = 'agent'
