"""Test that links require the same shared key and the same cluster."""

import dataclasses

import pytest

from bambooring_core import errors
from bambooring_core import handshake
from bambooring_core import identity
from bambooring_core import links
from bambooring_core import reactor

KEY = b'a key that both ends hold'


class _RecordingHandler:
    """A link handler that records the links that are up and the messages."""

    def __init__(self):
        self.links_up = []
        self.messages = []

    def handle_link_up(self, link):
        """Add a link that is up."""
        self.links_up.append(link)

    def handle_link_down(self, link):
        """Remove a link that is down."""
        self.links_up.remove(link)

    def handle_message(self, link, message):
        """Record a message."""
        self.messages.append(message)


def _make_identity(name, port, cluster='mandal'):
    return identity.Identity(
        cluster=cluster,
        instance=name,
        role='entry',
        failure_domain='rajkot',
        address=f'127.0.0.1:{port}',
        incarnation=identity.generate_incarnation(),
    )


def _connect(dialling_key, accepting_key, accepting_cluster='mandal'):
    """Let one hub dial another; return the number of links up at each."""
    handlers = _RecordingHandler(), _RecordingHandler()
    with reactor.Reactor() as loop:
        dialling_hub = links.LinkHub(
            reactor=loop,
            identity=_make_identity('entry-1', 11411),
            key=dialling_key,
            handler=handlers[0],
        )
        accepting_hub = links.LinkHub(
            reactor=loop,
            identity=_make_identity('entry-2', 11412, accepting_cluster),
            key=accepting_key,
            handler=handlers[1],
        )
        with dialling_hub, accepting_hub:
            dialling_hub.keep_connected(accepting_hub.identity.address)
            deadline_s = loop.now() + 0.6
            while loop.now() < deadline_s and not all(
                handler.links_up for handler in handlers
            ):
                loop.run_once()
            return [len(handler.links_up) for handler in handlers]


def test_links_come_up_with_the_same_key():
    """With the same key, the link comes up at both ends."""
    assert _connect(KEY, KEY) == [1, 1]


def test_links_require_the_same_key():
    """Neither end accepts a peer with a different key."""
    assert _connect(KEY, b'another key altogether') == [0, 0]


def test_links_require_the_same_cluster():
    """Neither end accepts a peer of a different cluster."""
    assert _connect(KEY, KEY, 'holmgaard') == [0, 0]


def test_proof_depends_on_every_part():
    """A proof is valid only for its side, nonces and identities."""
    hello = handshake.Hello(
        protocol=1,
        identity=_make_identity('entry-1', 1),
        nonce=handshake.make_nonce(),
    )
    accepting_identity = _make_identity('entry-2', 2)
    nonce = handshake.make_nonce()
    proof = handshake.compute_proof(
        KEY, 'dial', hello, accepting_identity, nonce
    )
    other_proofs = [
        handshake.compute_proof(
            KEY, 'accept', hello, accepting_identity, nonce
        ),
        handshake.compute_proof(
            KEY, 'dial', hello, accepting_identity, b'0' * 16
        ),
        handshake.compute_proof(
            KEY, 'dial', hello, _make_identity('entry-3', 2), nonce
        ),
        handshake.compute_proof(
            KEY,
            'dial',
            dataclasses.replace(hello, nonce=b'1' * 16),
            accepting_identity,
            nonce,
        ),
    ]
    assert proof not in other_proofs
    with pytest.raises(errors.HandshakeError):
        handshake.check_proof(proof, other_proofs[0])
