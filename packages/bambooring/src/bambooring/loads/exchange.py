"""Decide which entry instance is sent which load, without any input or output.

Within a failure domain each instance sends its reports to all others. The
relay of the domain also sends the sum to one instance of each other domain,
and tells its own domain what came from there. Which instance of another domain
gets the sum alternates between its relay and each member in turn, so that one
that is dead or unreachable loses only some of the sums.
"""

import collections.abc
import dataclasses
import enum
import typing

from bambooring.loads import const
from bambooring.loads import messages
from bambooring.loads import relays
from bambooring.loads import state
from bambooring.loads import summaries
from bambooring.targets import messages as targets


class Outcome(enum.StrEnum):
    """What became of a received message.

    The values are metric labels. REPEATED messages are not newer than what is
    known, FOREIGN ones are not meant for this instance.
    """

    ACCEPTED = 'accepted'
    REPEATED = 'repeated'
    FOREIGN = 'foreign'


@dataclasses.dataclass(slots=True, kw_only=True)
class Send:
    """Effect: send a message to the instances at some link addresses."""

    addresses: list[str]
    message: typing.Any


class LoadExchange:
    """Exchange load with the other entry instances.

    ``boot_now_s`` arguments are seconds of a clock that also advances while
    the machine is suspended, ``now_s`` those of the reactor.
    """

    def __init__(
        self,
        *,
        loads: state.ClusterLoads,
        own_address: str,
        failure_domain: str,
        incarnation: int,
        boot_now_s: float,
    ) -> None:
        self._loads = loads
        self._own_address = own_address
        self._failure_domain = failure_domain
        self._incarnation = incarnation
        self._election = relays.RelayElection(own_address, boot_now_s)
        self._writer = summaries.SummaryWriter(
            failure_domain, own_address, incarnation
        )
        self._near_addresses: list[str] = []
        self._remote_domains: dict[str, list[str]] = {}
        self._remote_addresses: set[str] = set()
        self._was_relay = False
        self._undistributed: list[messages.DomainLoad] = []
        self._relay_versions: dict[str, tuple[int, int]] = {}
        self._sequence = 0

    @property
    def near_addresses(self) -> list[str]:
        """Return the instances that get this instance's own reports."""
        return self._near_addresses

    @property
    def is_relay(self) -> bool:
        """Return whether this instance acted as the relay at the last tick."""
        return self._was_relay

    def set_instances(
        self, domains_by_address: collections.abc.Mapping[str, str]
    ) -> None:
        """Replace the known entry instances.

        A small fleet is treated as one failure domain, and so are instances
        whose domain isn't known.

        :param domains_by_address: the failure domain of each link address,
            '' where it isn't known
        """
        is_small = len(domains_by_address) <= const.MAX_DIRECT_INSTANCES
        self._near_addresses = []
        self._remote_domains = {}
        for address, domain in sorted(domains_by_address.items()):
            if address == self._own_address:
                continue
            if is_small or domain in ('', self._failure_domain):
                self._near_addresses.append(address)
            else:
                self._remote_domains.setdefault(domain, []).append(address)
        self._election.set_members(self._near_addresses)
        self._remote_addresses = {
            address
            for members in self._remote_domains.values()
            for address in members
        }
        self._loads.drop_reports(self._remote_addresses)

    def handle(
        self, message: typing.Any, now_s: float, boot_now_s: float
    ) -> tuple[Outcome, list[Send]]:
        """Handle a message of another instance.

        :returns: what became of it, and what to send because of it
        """
        match message:
            case targets.Load():
                return self._handle_report(message, now_s), []
            case messages.DomainLoad():
                return self._handle_summary(message, now_s, boot_now_s)
            case messages.RelayedLoads():
                return self._handle_relayed(message, now_s, boot_now_s), []
        return Outcome.FOREIGN, []

    def _handle_report(self, load: targets.Load, now_s: float) -> Outcome:
        if load.sender == self._own_address or self._is_remote(load.sender):
            return Outcome.FOREIGN
        is_new = self._loads.add_report(load, now_s)
        return Outcome.ACCEPTED if is_new else Outcome.REPEATED

    def _is_remote(self, address: str) -> bool:
        return address in self._remote_addresses

    def _handle_summary(
        self, summary: messages.DomainLoad, now_s: float, boot_now_s: float
    ) -> tuple[Outcome, list[Send]]:
        outcome = self._apply_summary(summary, now_s)
        if outcome is not Outcome.ACCEPTED:
            return outcome, []
        if self._election.is_relay(boot_now_s):
            self._undistributed.append(summary)
            return outcome, []
        relay = self._election.relay_address
        if relay not in self._near_addresses:
            return outcome, []
        return outcome, [Send(addresses=[relay], message=summary)]

    def _apply_summary(
        self, summary: messages.DomainLoad, now_s: float
    ) -> Outcome:
        if summary.failure_domain not in self._remote_domains:
            return Outcome.FOREIGN
        is_new = self._loads.add_summary(summary, now_s)
        return Outcome.ACCEPTED if is_new else Outcome.REPEATED

    def _handle_relayed(
        self, relayed: messages.RelayedLoads, now_s: float, boot_now_s: float
    ) -> Outcome:
        if relayed.sender not in self._near_addresses:
            return Outcome.FOREIGN
        version = (relayed.incarnation, relayed.sequence)
        if version <= self._relay_versions.get(relayed.sender, (0, 0)):
            return Outcome.REPEATED
        self._relay_versions[relayed.sender] = version
        self._election.record_relay(relayed.sender, boot_now_s)
        for summary in relayed.domains:
            self._apply_summary(summary, now_s)
        return Outcome.ACCEPTED

    def tick(
        self,
        make_report: collections.abc.Callable[[], targets.Load],
        now_s: float,
        boot_now_s: float,
    ) -> list[Send]:
        """Send the sum of the domain if this instance is its relay.

        To be called every ``const.RELAY_INTERVAL_S``.

        :param make_report: returns the own load report
        """
        self._election.update(boot_now_s)
        was_relay = self._was_relay
        self._was_relay = bool(
            self._remote_domains
        ) and self._election.is_relay(boot_now_s)
        if not self._was_relay:
            self._undistributed.clear()
            return []
        if not was_relay:
            self._writer.restart()
        self._sequence += 1
        report = make_report()
        loads, totals = self._loads.sum_domain(report, now_s)
        summary = self._writer.write(
            loads, totals, self._loads.get_domain_age_s(now_s)
        )
        suspicions = self._loads.suspicions.sum_domain(report)
        summary.suspect_keys = list(suspicions.counts)
        summary.suspect_counts = list(suspicions.counts.values())
        summary.sound_keys = list(suspicions.sound_keys)
        relayed = messages.RelayedLoads(
            sender=self._own_address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domains=self._undistributed,
        )
        self._undistributed = []
        receivers = [
            self._choose_receiver(domain, members, now_s)
            for domain, members in self._remote_domains.items()
        ]
        return [
            Send(addresses=receivers, message=summary),
            Send(addresses=self._near_addresses, message=relayed),
        ]

    def _choose_receiver(
        self, domain: str, members: list[str], now_s: float
    ) -> str:
        relay = self._loads.get_relay(domain, now_s)
        if relay in members and self._sequence % 2:
            return relay
        return members[self._sequence // 2 % len(members)]
