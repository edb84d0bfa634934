"""Simulate many entry instances that exchange load over a lossy network."""

import heapq
import itertools
import random

from bambooring.loads import const
from bambooring.loads import exchange
from bambooring.loads import state
from bambooring.targets import messages as targets
from bambooring_core import datagrams

STEP_S = 0.01
KEY = b'k' * 32


class Instance:
    """One entry instance with its own count of requests at each target."""

    def __init__(self, address, domain, incarnation, now_s):
        self.address = address
        self.domain = domain
        self.incarnation = incarnation
        self.running = {}
        self.waiting_by_urgency = []
        self.loads = state.ClusterLoads()
        self.is_alive = True
        self.is_frozen = False
        self.sequence = 0
        self.inbox = []
        self.reported_s = now_s
        self.exchange = exchange.LoadExchange(
            loads=self.loads,
            own_address=address,
            failure_domain=domain,
            incarnation=incarnation,
            boot_now_s=now_s,
        )

    def make_report(self):
        """Return the instance's load report."""
        self.sequence += 1
        return targets.Load(
            sender=self.address,
            incarnation=self.incarnation,
            sequence=self.sequence,
            targets=[
                targets.TargetLoad(target=id, running=count, tokens=count)
                for id, count in self.running.items()
                if count
            ],
            services=[
                targets.ServiceLoad(
                    service='llm',
                    waiting=1,
                    waiting_by_urgency=self.waiting_by_urgency,
                )
            ],
        )

    def count_seen(self, target):
        """Return how many requests the instance knows of at a target."""
        own = self.running.get(target, 0)
        return own + self.loads.get_load(target).running


class Fleet:
    """All instances, the network between them and the simulated time.

    ``is_cut`` tells whether datagrams from one instance to another are lost.
    """

    def __init__(self, *, domains, per_domain, seed, loss=0.0):
        self.now_s = 100.0
        self.random = random.Random(seed)
        self.loss = loss
        self.is_cut = lambda sender, receiver: False
        self.remote_bytes = 0
        self.received_bytes = {}
        self._in_flight = []
        self._numbers = itertools.count()
        self.instances = {}
        for domain in range(domains):
            for number in range(per_domain):
                address = f'10.{domain}.0.{number:03}:70'
                self.instances[address] = Instance(
                    address, f'd{domain}', 1, self.now_s
                )
        self.announce()

    def announce(self):
        """Tell each instance who is there, as control replicas do."""
        domains = {
            instance.address: instance.domain
            for instance in self.instances.values()
        }
        for instance in self.instances.values():
            instance.exchange.set_instances(domains)

    def restart(self, address):
        """Replace an instance by a new process at its address."""
        old = self.instances[address]
        self.instances[address] = Instance(
            address, old.domain, old.incarnation + 1, self.now_s
        )
        self.announce()

    def add_request(self, address, target, count=1):
        """Change an instance's running requests, and report the change."""
        instance = self.instances[address]
        known = instance.running.get(target, 0)
        instance.running[target] = max(0, known + count)
        self._report(instance)

    def _report(self, instance):
        instance.reported_s = self.now_s
        self._send(
            instance,
            exchange.Send(
                addresses=instance.exchange.near_addresses,
                message=instance.make_report(),
            ),
        )

    def _send(self, sender, send):
        data = datagrams.seal(KEY, send.message)
        for address in send.addresses:
            receiver = self.instances[address]
            if receiver.domain != sender.domain:
                self.remote_bytes += len(data)
            if self.random.random() < self.loss:
                continue
            if self.is_cut(sender.address, address):
                continue
            due_s = self.now_s + self.random.uniform(0.0003, 0.003)
            item = (due_s, next(self._numbers), address, data)
            heapq.heappush(self._in_flight, item)

    def run(self, duration_s):
        """Advance the time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-9:
            self.now_s += STEP_S
            self._deliver()
            for instance in self.instances.values():
                self._advance(instance)

    def _deliver(self):
        while self._in_flight and self._in_flight[0][0] <= self.now_s:
            _, _, address, data = heapq.heappop(self._in_flight)
            instance = self.instances[address]
            if instance.is_alive:
                instance.inbox.append(data)

    def _advance(self, instance):
        if not instance.is_alive or instance.is_frozen:
            return
        step = round(self.now_s / STEP_S)
        if step % round(const.RELAY_INTERVAL_S / STEP_S) == 0:
            for send in instance.exchange.tick(
                instance.make_report, self.now_s, self.now_s
            ):
                self._send(instance, send)
        self._read(instance)
        if any(instance.running.values()) and (
            self.now_s - instance.reported_s >= 0.5
        ):
            self._report(instance)
        instance.loads.expire(self.now_s)

    def _read(self, instance):
        inbox, instance.inbox = instance.inbox, []
        for data in inbox:
            total = self.received_bytes.get(instance.address, 0)
            self.received_bytes[instance.address] = total + len(data)
            message = datagrams.unseal(KEY, data)
            _, sends = instance.exchange.handle(
                message, self.now_s, self.now_s
            )
            for send in sends:
                self._send(instance, send)

    def count_running(self, target):
        """Return how many requests really run at a target."""
        return sum(
            instance.running.get(target, 0)
            for instance in self.instances.values()
            if instance.is_alive
        )

    def list_living(self):
        """Return the instances that run."""
        return [
            instance
            for instance in self.instances.values()
            if instance.is_alive and not instance.is_frozen
        ]

    def list_relays(self, domain):
        """Return the addresses that act as a domain's relay."""
        return [
            instance.address
            for instance in self.list_living()
            if instance.domain == domain and instance.exchange.is_relay
        ]
