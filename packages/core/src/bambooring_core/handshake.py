"""Prove to a peer that both ends hold the cluster's shared key.

Challenge and response in both directions: each end sends a nonce and
answers with an HMAC-SHA-256 over both nonces and both identities.
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
    """Open a link and challenge the acceptor."""

    protocol: int
    identity: identity_module.Identity
    nonce: bytes


@codec.register(SCHEMA, 2)
@dataclasses.dataclass(slots=True, kw_only=True)
class Welcome:
    """Answer a hello and challenge the dialler."""

    protocol: int
    identity: identity_module.Identity
    nonce: bytes
    proof: bytes


@codec.register(SCHEMA, 3)
@dataclasses.dataclass(slots=True, kw_only=True)
class Proof:
    """Answer the acceptor's challenge."""

    proof: bytes


@codec.register(SCHEMA, 4)
@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeat:
    """Show that the sender and the connection live."""

    sequence: int


def make_nonce() -> bytes:
    """Return a fresh challenge."""
    return secrets.token_bytes(const.NONCE_BYTES)


def compute_proof(
    key: bytes,
    side: str,
    hello: Hello,
    identity: identity_module.Identity,
    nonce: bytes,
) -> bytes:
    """Compute the answer to a challenge.

    :param key: the shared key
    :param side: 'accept' or 'dial', the end that proves itself
    :param hello: the dialler's hello
    :param identity: the acceptor's identity
    :param nonce: the acceptor's nonce
    :returns: the HMAC
    """
    parts = (
        side.encode(),
        hello.nonce,
        nonce,
        codec.encode(hello.identity),
        codec.encode(identity),
    )
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, 'little'))
        digest.update(part)
    return digest.digest()


def check_peer(peer: Hello | Welcome, cluster: str) -> None:
    """Check the version and the cluster that a peer names.

    :param peer: the peer's first message
    :param cluster: our cluster's name
    :raises HandshakeError: if either differs
    """
    if peer.protocol != const.PROTOCOL_VERSION:
        raise errors.HandshakeError('protocol_version')
    if peer.identity.cluster != cluster:
        raise errors.HandshakeError('cluster_name')


def check_proof(expected: bytes, given: bytes) -> None:
    """Compare two proofs in constant time.

    :param expected: what the key gives
    :param given: what the peer sent
    :raises HandshakeError: if they differ
    """
    if not hmac.compare_digest(expected, given):
        raise errors.HandshakeError('wrong_key')
