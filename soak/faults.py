"""Draw random faults by a seed and inject them, several at a time."""

import collections.abc
import contextlib
import heapq
import itertools
import random
import signal
import time

from soak import cluster as cluster_module
from soak import history as history_module
from soak import relay as relay_module

MEAN_INTERVAL_S = 0.7
Repair = collections.abc.Callable[[], None]


class FaultInjector:
    """Inject random faults and schedule their repair.

    At most one control replica is unavailable at a time. After its fault has
    been repaired, a replica counts as unavailable until it has had time to
    catch up, for example because its data were wiped.
    """

    def __init__(
        self, cluster: cluster_module.Cluster, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        # A heap of the due time, a number that orders equal times, and the
        # repair.
        self._repairs: list[tuple[float, int, Repair]] = []
        self._sequence_numbers = itertools.count()
        # By name of a process or target: the time until which the process is
        # not made unavailable again, or the target not drained again.
        self._faulty_until_s: dict[str, float] = {}
        # The time from which a control replica may be made unavailable again.
        self._next_control_fault_s = 0.0
        # A line per injected fault: seconds since the start and description.
        self.fault_log: list[str] = []

    def run(self, duration_s: float) -> None:
        """Inject faults for a while, then repair all of them.

        :param duration_s: how long to inject faults
        """
        start_s = time.monotonic()
        next_fault_s = start_s
        while time.monotonic() < start_s + duration_s:
            now_s = time.monotonic()
            self._run_due_repairs(now_s)
            if now_s >= next_fault_s:
                self._inject_fault(now_s - start_s)
                next_fault_s = now_s + self._rng.expovariate(
                    1 / MEAN_INTERVAL_S
                )
            self._cluster.restart_exited_processes()
            time.sleep(0.02)
        while self._repairs:
            self._run_due_repairs(float('inf'))
        for relay in self._cluster.relays.values():
            relay.mode = relay_module.Mode.PASS

    def _inject_fault(self, elapsed_s: float) -> None:
        inject = self._rng.choices(
            [
                self._kill_process,
                self._pause_process,
                self._stop_process,
                self._change_relay_mode,
                self._reset_connections,
                self._stall_connections,
                self._wipe_replica,
                self._append_torn_record,
                self._shift_clock,
                self._reload_settings,
                self._make_target_fail,
                self._drain_target,
            ],
            [3, 3, 2, 4, 2, 2, 1, 1, 1, 1, 3, 1],
        )[0]
        description = inject()
        if description:
            self.fault_log.append(f'{elapsed_s:.2f} {description}')

    def _schedule_repair(self, delay_s: float, repair: Repair) -> None:
        due_s = time.monotonic() + delay_s
        heapq.heappush(
            self._repairs, (due_s, next(self._sequence_numbers), repair)
        )

    def _run_due_repairs(self, now_s: float) -> None:
        while self._repairs and self._repairs[0][0] <= now_s:
            heapq.heappop(self._repairs)[2]()

    def _record_disturbance(self, duration_s: float) -> None:
        """Record that a fault has effects from now on for a duration."""
        now_s = time.monotonic()
        self._cluster.history.disturbed_periods.append(
            (now_s, now_s + duration_s)
        )

    def _choose_process(
        self, duration_s: float, role: str = ''
    ) -> cluster_module.Process | None:
        """Choose a random process for a fault.

        :param duration_s: how long the process will be unavailable
        :param role: choose among processes of this role only, if not empty
        :returns: the process, or None if it must not fail now
        """
        now_s = time.monotonic()
        process = self._rng.choice(
            [
                candidate
                for candidate in self._cluster.processes.values()
                if role in ('', candidate.role)
            ]
        )
        if self._faulty_until_s.get(process.name, 0.0) > now_s:
            return None
        # Its repair may be late: a fault that waits for a process to exit
        # delays all repairs that are due meanwhile.
        if not process.is_expected_to_run:
            return None
        if process.role == 'control':
            if self._next_control_fault_s > now_s or self._is_replica_down():
                return None
            self._next_control_fault_s = now_s + duration_s + CATCH_UP_S
        self._faulty_until_s[process.name] = now_s + duration_s + 0.5
        return process

    def _is_replica_down(self) -> bool:
        return any(
            process.role == 'control' and not process.is_expected_to_run
            for process in self._cluster.processes.values()
        )

    def _start(self, process: cluster_module.Process) -> None:
        self._cluster.start(process)
        self._record_return(process)

    def _resume(self, process: cluster_module.Process) -> None:
        self._cluster.signal(process, signal.SIGCONT)
        self._record_return(process)

    def _record_return(self, process: cluster_module.Process) -> None:
        """Give a control replica that runs again time to catch up."""
        if process.role == 'control':
            self._next_control_fault_s = max(
                self._next_control_fault_s, time.monotonic() + CATCH_UP_S
            )

    def _kill_process(self) -> str:
        down_s = self._rng.uniform(0.0, 2.0)
        process = self._choose_process(down_s)
        if process is None:
            return ''
        self._record_disturbance(down_s + 1.0)
        self._cluster.kill(process)
        self._schedule_repair(down_s, lambda: self._start(process))
        return f'kill {process.name} for {down_s:.1f} s'

    def _pause_process(self) -> str:
        duration_s = self._rng.uniform(0.2, 5.0)
        process = self._choose_process(duration_s)
        if process is None:
            return ''
        self._record_disturbance(duration_s + 1.0)
        self._cluster.signal(process, signal.SIGSTOP)
        self._schedule_repair(duration_s, lambda: self._resume(process))
        return f'pause {process.name} for {duration_s:.1f} s'

    def _stop_process(self) -> str:
        process = self._choose_process(cluster_module.STOP_GRACE_S)
        if process is None:
            return ''
        started_s = time.monotonic()
        if process.role != 'edge':
            self._record_disturbance(1.0)
        self._cluster.stop(process)
        self._cluster.history.planned_stops.append(
            history_module.PlannedStop(
                entry=process.name,
                started_s=started_s,
                ended_s=time.monotonic(),
            )
        )
        self._start(process)
        return f'stop {process.name}'

    def _choose_relay(self) -> tuple[str, relay_module.Relay]:
        return self._rng.choice(sorted(self._cluster.relays.items()))

    def _change_relay_mode(self) -> str:
        name, relay = self._choose_relay()
        duration_s = self._rng.uniform(0.3, 4.0)
        modes = [
            candidate
            for candidate in relay_module.Mode
            if candidate.value != 'pass'
        ]
        mode = self._rng.choice(modes)
        self._record_disturbance(duration_s + 1.0)
        relay.delay_s = self._rng.uniform(0.05, 0.6)
        relay.mode = mode

        def repair() -> None:
            relay.mode = relay_module.Mode.PASS

        self._schedule_repair(duration_s, repair)
        return f'{mode.value} {name} for {duration_s:.1f} s'

    def _reset_connections(self) -> str:
        name, relay = self._choose_relay()
        self._record_disturbance(1.0)
        relay.reset_connections()
        return f'reset connections of {name}'

    def _stall_connections(self) -> str:
        name, relay = self._choose_relay()
        self._record_disturbance(6.0)
        relay.stall_connections()
        return f'stall connections of {name}'

    def _wipe_replica(self) -> str:
        process = self._choose_process(2.0, 'control')
        if process is None:
            return ''
        self._record_disturbance(3.0)
        self._cluster.kill(process)
        self._cluster.delete_data(process)
        self._schedule_repair(0.5, lambda: self._start(process))
        return f'wipe the data of {process.name}'

    def _append_torn_record(self) -> str:
        """Kill a control replica and append a torn record to its log."""
        process = self._choose_process(1.0, 'control')
        if process is None:
            return ''
        self._record_disturbance(2.0)
        self._cluster.kill(process)
        torn_record = self._rng.randbytes(self._rng.randint(1, 30))
        with contextlib.suppress(FileNotFoundError):
            log_path = process.folder / 'data' / 'log'
            with log_path.open('r+b') as file:
                file.seek(0, 2)
                file.write(torn_record)
        self._schedule_repair(0.3, lambda: self._start(process))
        return f'append a torn record to the log of {process.name}'

    def _shift_clock(self) -> str:
        name = self._rng.choice(sorted(self._cluster.processes))
        offset_s = self._rng.uniform(-30, 30)
        process = self._cluster.processes[name]
        self._cluster.set_clock_offset(process, offset_s)
        self._schedule_repair(
            3.0, lambda: self._cluster.set_clock_offset(process, 0.0)
        )
        return f'shift the clock of {name} by {offset_s:.1f} s'

    def _reload_settings(self) -> str:
        process = self._cluster.processes[
            self._rng.choice(sorted(self._cluster.processes))
        ]
        self._cluster.signal(process, signal.SIGHUP)
        return f'reload the settings of {process.name}'

    def _make_target_fail(self) -> str:
        target = self._rng.choice(self._cluster.targets)
        duration_s = self._rng.uniform(0.5, 3.0)
        self._record_disturbance(duration_s)
        target.failure_probability = self._rng.uniform(0.1, 0.9)

        def repair() -> None:
            target.failure_probability = 0.0

        self._schedule_repair(duration_s, repair)
        return (
            f'fail requests at {target.service} {target.id}'
            f' for {duration_s:.1f} s'
        )

    def _drain_target(self) -> str:
        target_index = self._rng.randrange(len(self._cluster.targets))
        name = f'target-{target_index}'
        if self._faulty_until_s.get(name, 0.0) > time.monotonic():
            return ''
        self._faulty_until_s[name] = time.monotonic() + 5.0
        self._record_disturbance(5.0)
        self._cluster.targets[target_index].drain()
        self._schedule_repair(
            4.0, lambda: self._cluster.replace_target(target_index)
        )
        return f'drain {name}'


# A restarted control replica needs at most this long to catch up.
CATCH_UP_S = 4.0
