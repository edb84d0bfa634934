"""Replicate the policy, and look up requests in the one in force."""

import collections.abc
import random
import typing
import zlib

from bambooring.policy import const
from bambooring.policy import messages
from bambooring.policy import urgency


class PolicyStore:
    """The newest accepted policy version, as replicated through the log."""

    __slots__ = ('newest',)

    def __init__(self) -> None:
        self.newest = messages.Document(version=0, digest=b'', document=b'')

    def publish(self, command: messages.Publish) -> messages.Published:
        """Accept a higher version; anything else changes nothing.

        :param command: the version to publish
        :returns: the outcome, and the newest version after it
        """
        outcome = messages.PublishOutcome.SUPERSEDED
        if command.version > self.newest.version:
            self.newest = messages.Document(
                version=command.version,
                digest=command.digest,
                document=command.document,
            )
            outcome = messages.PublishOutcome.ACCEPTED
        elif command.version == self.newest.version:
            outcome = messages.PublishOutcome.CONFLICT
            if command.digest == self.newest.digest:
                outcome = messages.PublishOutcome.REPEATED
        return messages.Published(outcome=outcome, version=self.newest.version)

    def read_newest(self, command: messages.Consult) -> messages.Document:
        """Return the newest version, with its document if asked for."""
        document = self.newest.document if command.is_whole else b''
        return messages.Document(
            version=self.newest.version,
            digest=self.newest.digest,
            document=document,
        )

    def save(self) -> collections.abc.Iterator[messages.Document]:
        """Yield the messages of a snapshot, for :meth:`restore`."""
        if self.newest.version:
            yield self.newest

    def restore(self, message: typing.Any) -> bool:
        """Restore the state from a message of a snapshot.

        :returns: whether the message belongs to this store
        """
        if not isinstance(message, messages.Document):
            return False
        self.newest = message
        return True


def compress(document: bytes) -> bytes:
    """Compress a document for the log and for sending it to instances."""
    return zlib.compress(document, const.COMPRESSION_LEVEL)


def decompress(document: bytes) -> bytes:
    """Return the document that was compressed by :func:`compress`."""
    return zlib.decompress(document)


class PolicyTable:
    """Lookup tables for the routes, accounts and services of one policy."""

    __slots__ = ('_accounts', '_routes', '_services', 'policy', 'urgencies')

    def __init__(self, policy: messages.Policy) -> None:
        self.policy = policy
        self._routes: dict[str, dict[str, messages.Route]] = {}
        for route in policy.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route
        self._accounts = {
            key: account for account in policy.accounts for key in account.keys
        }
        self._services = {service.name: service for service in policy.services}
        self.urgencies = urgency.UrgencyTable(policy)

    @property
    def version(self) -> int:
        """Return the version of the policy."""
        return self.policy.version

    @property
    def has_accounts(self) -> bool:
        """Return whether callers need a key."""
        return bool(self.policy.accounts)

    def find_route(self, host: str, path: str) -> messages.Route | None:
        """Return the route with the longest matching path prefix, or None.

        A prefix matches whole segments, whether or not it ends in a slash.

        :param host: the host in lower case without a port
        :param path: the path without the query
        """
        routes = self._routes.get(host)
        if routes is None:
            return None
        end = len(path)
        if path in routes:
            return routes[path]
        while (end := path.rfind('/', 0, end)) >= 0:
            for prefix in (path[: end + 1], path[:end]):
                if prefix in routes:
                    return routes[prefix]
        return None

    def find_account(self, key: str) -> messages.Account | None:
        """Return the account that a key belongs to, or None."""
        return self._accounts.get(key)

    def find_service(self, name: str) -> messages.Service | None:
        """Return a service by its name, or None."""
        return self._services.get(name)


def draw_service(
    services: list[messages.WeightedService], rng: random.Random
) -> str:
    """Draw one of a route's services at random, by weight.

    :param services: the services; at least one weight is above 0
    :param rng: the random number generator
    :returns: the name of the service
    """
    if len(services) == 1:
        return services[0].service
    weights = [service.weight for service in services]
    return rng.choices(services, weights)[0].service
