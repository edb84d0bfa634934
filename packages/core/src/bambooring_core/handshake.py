"""Authenticate both ends of a link by the cluster's shared key.

The handshake is a mutual challenge-response: each end sends a nonce and
proves itself with an HMAC-SHA-256 over both nonces, both identities and its
side of the link. Because of the side, a reflected proof is invalid.
"""

import dataclasses
import hashlib
import hmac
import os
import secrets

from bambooring_core import codec
from bambooring_core import const
from bambooring_core import errors
from bambooring_core import identity as identity_module

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'link.capnp')
)

codec.register(SCHEMA)(identity_module.Identity)


@codec.register(SCHEMA, 1)
@dataclasses.dataclass(slots=True, kw_only=True)
class Hello:
    """Open a link and challenge the accepting end."""

    protocol: int
    identity: identity_module.Identity
    nonce: bytes


@codec.register(SCHEMA, 2)
@dataclasses.dataclass(slots=True, kw_only=True)
class Welcome:
    """Respond to a hello and challenge the dialling end."""

    protocol: int
    identity: identity_module.Identity
    nonce: bytes
    proof: bytes


@codec.register(SCHEMA, 3)
@dataclasses.dataclass(slots=True, kw_only=True)
class Proof:
    """Respond to the accepting end's challenge."""

    proof: bytes


@codec.register(SCHEMA, 4)
@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeat:
    """Show that the sender and the connection are alive."""

    sequence: int


def make_nonce() -> bytes:
    """Return a new random challenge."""
    return secrets.token_bytes(const.NONCE_BYTES)


def compute_proof(
    key: bytes,
    side: str,
    hello: Hello,
    accepting_identity: identity_module.Identity,
    accepting_nonce: bytes,
) -> bytes:
    """Compute the HMAC by which one end of a link proves to have the key.

    :param key: the shared key
    :param side: 'accept' or 'dial', the end that sends the proof
    :param hello: the dialling end's hello
    :param accepting_identity: the accepting end's identity
    :param accepting_nonce: the accepting end's nonce
    :returns: the HMAC
    """
    parts = (
        side.encode(),
        hello.nonce,
        accepting_nonce,
        codec.encode(hello.identity),
        codec.encode(accepting_identity),
    )
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        # Length prefixes make the boundaries between the parts unambiguous.
        digest.update(len(part).to_bytes(4, 'little'))
        digest.update(part)
    return digest.digest()


def check_peer(message: Hello | Welcome, cluster: str) -> None:
    """Check the protocol version and the cluster of a peer.

    :param message: the peer's first message
    :param cluster: the name of this process's cluster
    :raises HandshakeError: if either differs from its own
    """
    if message.protocol != const.PROTOCOL_VERSION:
        raise errors.HandshakeError('protocol_version')
    if message.identity.cluster != cluster:
        raise errors.HandshakeError('cluster_name')


def check_proof(expected: bytes, given: bytes) -> None:
    """Compare two proofs in constant time.

    :param expected: the proof computed with the shared key
    :param given: the proof that the peer sent
    :raises HandshakeError: if they differ
    """
    if not hmac.compare_digest(expected, given):
        raise errors.HandshakeError('wrong_key')
