"""Maintain authenticated links with heartbeats to other processes."""

import collections.abc
import dataclasses
import errno
import random
import selectors
import socket
import types
import typing

import structlog

from bambooring_core import accepting
from bambooring_core import const
from bambooring_core import errors
from bambooring_core import frames
from bambooring_core import handshake
from bambooring_core import identity as identity_module
from bambooring_core import metrics
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

_SILENCE_TIMEOUT_S = const.HEARTBEAT_INTERVAL_S * const.MAX_MISSED_HEARTBEATS


class LinkHandler(typing.Protocol):
    """The receiver of the events of a hub's links."""

    def handle_link_up(self, link: 'Link') -> None:
        """Handle the completion of a link's handshake."""

    def handle_link_down(self, link: 'Link') -> None:
        """Handle the end of a link that was up."""

    def handle_message(self, link: 'Link', message: typing.Any) -> None:
        """Handle a message other than a heartbeat."""


class Hub(typing.Protocol):
    """The interface of :class:`LinkHub`, also implemented by simulations."""

    def __enter__(self) -> typing.Self:
        """Start accepting and dialling links."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close every link."""

    def get_links(self, role: str) -> list['Link']:
        """Return the links that are up to peers of one role."""

    def keep_connected(self, address: str) -> None:
        """Maintain a link to an address, redialling when it closes."""

    def disconnect(self, address: str) -> None:
        """Close the link dialled to an address and stop redialling."""

    def get_dialled_addresses(self) -> set[str]:
        """Return the addresses to which links are maintained."""


HubFactory = collections.abc.Callable[..., Hub]


def split_address(address: str) -> tuple[str, int]:
    """Split an address into IP address and port.

    :param address: 'IP:PORT'
    :returns: the IP address and the port
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


class Link:
    """A connection to a peer, with its handshake and its output buffer.

    ``dialled_address`` is None if the peer dialled the link. ``is_up`` is set
    from the end of the handshake until the link closes. Times are those of the
    hub's reactor.
    """

    def __init__(
        self, hub: 'LinkHub', sock: socket.socket, dialled_address: str | None
    ) -> None:
        self.hub = hub
        self.dialled_address = dialled_address
        self.peer: identity_module.Identity | None = None
        self.is_up = False
        self.is_open = True
        self._socket = sock
        self._reader = frames.FrameReader()
        self._out_buffer = bytearray()
        self._hello: handshake.Hello | None = None
        self._nonce = handshake.make_nonce()
        self._is_connecting = dialled_address is not None
        self._is_write_watched = False
        self._is_flush_due = False
        now = hub.reactor.now()
        self.last_received_s = now
        self.last_sent_s = now
        self.started_s = now

    @property
    def name(self) -> str:
        """Return the peer's name, or the dialled address if unknown."""
        if self.peer is not None:
            return self.peer.instance
        return self.dialled_address or 'unknown'

    def open(self) -> None:
        """Start watching the socket."""
        events = selectors.EVENT_READ
        if self._is_connecting:
            events = selectors.EVENT_WRITE
        self.hub.reactor.watch(self._socket, events, self._on_ready)

    def send(self, message: typing.Any) -> None:
        """Queue a message, to be sent at the end of this loop iteration.

        :param message: a registered message
        """
        self.send_frame(frames.encode(message))

    def send_frame(self, frame: bytes) -> None:
        """Queue an encoded frame; close the link if its buffer overflows."""
        if not self.is_open:
            return
        self._out_buffer += frame
        if len(self._out_buffer) > const.OUT_BUFFER_LIMIT_BYTES:
            self.close('out_buffer_full')
            return
        if not self._is_flush_due:
            self._is_flush_due = True
            self.hub.reactor.call_soon(self._flush)

    def close(self, reason: str) -> None:
        """Close the connection and remove it from the hub.

        :param reason: the reason, as counted in the metrics
        """
        if not self.is_open:
            return
        self.is_open = False
        self.hub.reactor.unwatch(self._socket)
        self._socket.close()
        self.hub.remove_link(self, reason)

    def _flush(self) -> None:
        self._is_flush_due = False
        if not self.is_open or self._is_connecting or not self._out_buffer:
            return
        try:
            sent = self._socket.send(self._out_buffer)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close('write_failed')
            return
        del self._out_buffer[:sent]
        self.last_sent_s = self.hub.reactor.now()
        self._watch_write(bool(self._out_buffer))

    def _watch_write(self, wanted: bool) -> None:
        if wanted == self._is_write_watched:
            return
        self._is_write_watched = wanted
        events = selectors.EVENT_READ
        if wanted:
            events |= selectors.EVENT_WRITE
        self.hub.reactor.watch(self._socket, events, self._on_ready)

    def _on_ready(self, events: int) -> None:
        if not self.is_open:
            return
        if self._is_connecting:
            self._finish_connect()
            return
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and self.is_open:
            self._receive()

    def _finish_connect(self) -> None:
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close('connect_failed')
            return
        self._is_connecting = False
        self._hello = handshake.Hello(
            protocol=const.PROTOCOL_VERSION,
            identity=self.hub.identity,
            nonce=self._nonce,
        )
        self.hub.reactor.watch(
            self._socket, selectors.EVENT_READ, self._on_ready
        )
        self.send(self._hello)

    def _receive(self) -> None:
        try:
            data = self._socket.recv(const.READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close('read_failed')
            return
        if not data:
            self.close('peer_closed')
            return
        self.last_received_s = self.hub.reactor.now()
        try:
            for message in self._reader.feed(data):
                self._handle_message(message)
                if not self.is_open:
                    return
        except errors.FrameError as error:
            LOG.warning(
                'closing link after invalid frame',
                peer=self.name,
                error=str(error),
            )
            self.close('bad_frame')
        except errors.HandshakeError as error:
            LOG.warning(
                'closing link after failed handshake',
                peer=self.name,
                error=str(error),
            )
            self.close(str(error))

    def _handle_message(self, message: typing.Any) -> None:
        if self.is_up:
            if not isinstance(message, handshake.Heartbeat):
                self.hub.handler.handle_message(self, message)
            return
        if self.dialled_address is not None:
            self._handle_welcome(message)
        elif self._hello is None:
            self._handle_hello(message)
        else:
            self._handle_proof(message)

    def _handle_hello(self, message: typing.Any) -> None:
        if not isinstance(message, handshake.Hello):
            raise errors.HandshakeError('no_hello')
        handshake.check_peer(message, self.hub.identity.cluster)
        self._hello = message
        proof = handshake.compute_proof(
            self.hub.key, 'accept', message, self.hub.identity, self._nonce
        )
        self.send(
            handshake.Welcome(
                protocol=const.PROTOCOL_VERSION,
                identity=self.hub.identity,
                nonce=self._nonce,
                proof=proof,
            )
        )

    def _handle_welcome(self, message: typing.Any) -> None:
        if not isinstance(message, handshake.Welcome):
            raise errors.HandshakeError('no_welcome')
        handshake.check_peer(message, self.hub.identity.cluster)
        assert self._hello is not None
        proofs = [
            handshake.compute_proof(
                self.hub.key,
                side,
                self._hello,
                message.identity,
                message.nonce,
            )
            for side in ('accept', 'dial')
        ]
        handshake.check_proof(proofs[0], message.proof)
        self.send(handshake.Proof(proof=proofs[1]))
        self._complete_handshake(message.identity)

    def _handle_proof(self, message: typing.Any) -> None:
        if not isinstance(message, handshake.Proof):
            raise errors.HandshakeError('no_proof')
        assert self._hello is not None
        expected = handshake.compute_proof(
            self.hub.key,
            'dial',
            self._hello,
            self.hub.identity,
            self._nonce,
        )
        handshake.check_proof(expected, message.proof)
        self._complete_handshake(self._hello.identity)

    def _complete_handshake(self, peer: identity_module.Identity) -> None:
        self.peer = peer
        self.is_up = True
        self.hub.handler.handle_link_up(self)

    def check_liveness(self, now: float, sequence: int) -> None:
        """Close the link after a timeout, else send a heartbeat if it is up.

        :param now: the reactor's time in seconds
        :param sequence: the heartbeat's sequence number
        """
        if not self.is_up:
            if now - self.started_s > const.HANDSHAKE_TIMEOUT_S:
                self.close('handshake_timeout')
            return
        if now - self.last_received_s > _SILENCE_TIMEOUT_S:
            self.close('silent')
            return
        self.send(handshake.Heartbeat(sequence=sequence))


@dataclasses.dataclass(slots=True, kw_only=True)
class _DialState:
    """The link, backoff and timer of an address that is kept connected."""

    address: str
    delay_s: float = const.REDIAL_MIN_S
    link: Link | None = None
    timer: reactor_module.Timer | None = None


class LinkHub:
    """All links of one process, accepted and dialled.

    Addresses are redialled with exponential backoff and jitter. A process
    never dials its own address.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        identity: identity_module.Identity,
        key: bytes,
        handler: LinkHandler,
        bind_address: str = '',
    ) -> None:
        self.reactor = reactor
        self.identity = identity
        self.key = key
        self.handler = handler
        # The listening address may differ from the one that peers dial.
        self._bind_address = bind_address or identity.address
        self._links: set[Link] = set()
        self._dials: dict[str, _DialState] = {}
        self._acceptor: accepting.Acceptor | None = None
        self._sequence = 0
        self._random = random.Random(identity.incarnation)

    def __enter__(self) -> typing.Self:
        listener = socket.create_server(
            split_address(self._bind_address), backlog=1024
        )
        self._acceptor = accepting.Acceptor(
            self.reactor, listener, self._add_accepted
        )
        self.reactor.call_every(const.HEARTBEAT_INTERVAL_S, self._check_links)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._dials.clear()
        if self._acceptor is not None:
            self._acceptor.close()
        for link in list(self._links):
            link.close('stopping')

    def get_links(self, role: str) -> list[Link]:
        """Return the links that are up to peers of one role."""
        return [
            link
            for link in self._links
            if link.is_up and link.peer and link.peer.role == role
        ]

    def keep_connected(self, address: str) -> None:
        """Maintain a link to an address, redialling when it closes.

        :param address: 'IP:PORT'
        """
        if address in self._dials or address == self.identity.address:
            return
        self._dials[address] = _DialState(address=address)
        self._dial(address)

    def disconnect(self, address: str) -> None:
        """Close the link dialled to an address and stop redialling."""
        dial = self._dials.pop(address, None)
        if dial is None:
            return
        if dial.timer is not None:
            dial.timer.cancel()
        if dial.link is not None:
            dial.link.close('dropped')

    def get_dialled_addresses(self) -> set[str]:
        """Return the addresses to which links are maintained."""
        return set(self._dials)

    def _dial(self, address: str) -> None:
        dial = self._dials.get(address)
        if dial is None:
            return
        dial.timer = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            LOG.warning('cannot dial', address=address, error=str(error))
            self._schedule_dial(dial, was_up=False)
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(self, sock, address)
        dial.link = link
        self._links.add(link)
        error_number = sock.connect_ex(split_address(address))
        if error_number not in (0, errno.EINPROGRESS):
            link.close('connect_failed')
            return
        link.open()

    def _add_accepted(self, sock: socket.socket) -> None:
        link = Link(self, sock, None)
        self._links.add(link)
        link.open()

    def remove_link(self, link: Link, reason: str) -> None:
        """Remove a closed link and schedule a redial if it was dialled.

        :param link: the closed link
        :param reason: the reason, as counted in the metrics
        """
        self._links.discard(link)
        metrics.LINKS_CLOSED.labels(reason=reason).inc()
        dial = self._dials.get(link.dialled_address or '')
        if dial is not None and dial.link is link:
            self._schedule_dial(dial, link.is_up)
        if link.is_up:
            link.is_up = False
            LOG.info('link closed', peer=link.name, reason=reason)
            self.handler.handle_link_down(link)

    def _schedule_dial(self, dial: _DialState, was_up: bool) -> None:
        dial.link = None
        if was_up:
            dial.delay_s = const.REDIAL_MIN_S
        delay_s = dial.delay_s * self._random.uniform(0.5, 1.0)
        dial.delay_s = min(dial.delay_s * 2, const.REDIAL_MAX_S)
        dial.timer = self.reactor.call_later(
            delay_s, lambda: self._dial(dial.address)
        )

    def _check_links(self) -> None:
        now = self.reactor.now()
        self._sequence += 1
        for link in list(self._links):
            link.check_liveness(now, self._sequence)
