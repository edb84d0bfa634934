"""Test that links need the shared key, the cluster and the version."""

import dataclasses

import pytest

from bambooring_core import errors
from bambooring_core import handshake
from bambooring_core import identity
from bambooring_core import links
from bambooring_core import reactor

KEY = b'a key that both ends hold'


class _Handler:
    """Remember what happens on links."""

    def __init__(self):
        self.up = []
        self.messages = []

    def handle_link_up(self, link):
        """Remember a link."""
        self.up.append(link)

    def handle_link_down(self, link):
        """Forget a link."""
        self.up.remove(link)

    def handle_message(self, link, message):
        """Remember a message."""
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


def _connect(first_key, second_key, second_cluster='mandal'):
    """Let one hub dial another and return both handlers."""
    handlers = _Handler(), _Handler()
    with reactor.Reactor() as loop:
        first = links.LinkHub(
            reactor=loop,
            identity=_make_identity('entry-1', 11411),
            key=first_key,
            handler=handlers[0],
        )
        second = links.LinkHub(
            reactor=loop,
            identity=_make_identity('entry-2', 11412, second_cluster),
            key=second_key,
            handler=handlers[1],
        )
        with first, second:
            first.keep_connected(second.identity.address)
            ends = loop.now() + 0.6
            while loop.now() < ends and not all(
                handler.up for handler in handlers
            ):
                loop.run_once()
            return [len(handler.up) for handler in handlers]


def test_links_come_up_with_the_same_key():
    """Both ends see the link."""
    assert _connect(KEY, KEY) == [1, 1]


def test_links_need_the_same_key():
    """Neither end takes a link whose other end has another key."""
    assert _connect(KEY, b'another key altogether') == [0, 0]


def test_links_need_the_same_cluster():
    """Neither end takes a link to another cluster."""
    assert _connect(KEY, KEY, 'holmgaard') == [0, 0]


def test_proof_depends_on_every_part():
    """A proof for one side, nonce or identity fits no other."""
    hello = handshake.Hello(
        protocol=1,
        identity=_make_identity('entry-1', 1),
        nonce=handshake.make_nonce(),
    )
    other = _make_identity('entry-2', 2)
    nonce = handshake.make_nonce()
    good = handshake.compute_proof(KEY, 'dial', hello, other, nonce)
    changed = [
        handshake.compute_proof(KEY, 'accept', hello, other, nonce),
        handshake.compute_proof(KEY, 'dial', hello, other, b'0' * 16),
        handshake.compute_proof(
            KEY, 'dial', hello, _make_identity('entry-3', 2), nonce
        ),
        handshake.compute_proof(
            KEY,
            'dial',
            dataclasses.replace(hello, nonce=b'1' * 16),
            other,
            nonce,
        ),
    ]
    assert good not in changed
    with pytest.raises(errors.HandshakeError):
        handshake.check_proof(good, changed[0])
