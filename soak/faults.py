"""Draw faults by a seed and carry them out, several at a time."""

import collections.abc
import contextlib
import heapq
import itertools
import random
import signal
import time

from soak import ledger as ledger_module
from soak import relay as relay_module
from soak import site as site_module

MEAN_GAP_S = 0.7
Action = collections.abc.Callable[[], None]


class Faults:
    """Own the schedule: what is broken now and when it is mended.

    At most one control replica is lost at a time; a wiped one counts as
    lost until it has had time to catch up.
    """

    def __init__(self, site: site_module.Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._due: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()
        self._busy_until_s: dict[str, float] = {}
        self._control_free_s = 0.0
        self.story: list[str] = []

    def run(self, seconds: float) -> None:
        """Break things for a while, then mend all.

        :param seconds: how long to go on
        """
        start_s = time.monotonic()
        next_s = start_s
        while time.monotonic() < start_s + seconds:
            now_s = time.monotonic()
            if now_s >= next_s:
                self._strike(now_s - start_s)
                next_s = now_s + self._rng.expovariate(1 / MEAN_GAP_S)
            self._mend(now_s)
            self._site.watch()
            time.sleep(0.02)
        while self._due:
            self._mend(float('inf'))
        for relay in self._site.relays.values():
            relay.mode = relay_module.Mode.PASS

    def _strike(self, at_s: float) -> None:
        draw = self._rng.choices(
            [
                self._kill,
                self._pause,
                self._stop,
                self._cut,
                self._reset,
                self._stick,
                self._wipe,
                self._tear,
                self._step_clock,
                self._reload,
                self._spoil,
                self._leave,
            ],
            [3, 3, 2, 4, 2, 2, 1, 1, 1, 1, 3, 1],
        )[0]
        told = draw()
        if told:
            self.story.append(f'{at_s:.2f} {told}')

    def _later(self, delay_s: float, action: Action) -> None:
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._due, (due_s, next(self._numbers), action))

    def _mend(self, now_s: float) -> None:
        while self._due and self._due[0][0] <= now_s:
            heapq.heappop(self._due)[2]()

    def _disturb(self, seconds: float) -> None:
        now_s = time.monotonic()
        self._site.ledger.disturbed.append((now_s, now_s + seconds))

    def _draw_process(
        self, seconds: float, serves: str = ''
    ) -> site_module.Process | None:
        """Return a process that may be lost for a while, or None."""
        now_s = time.monotonic()
        process = self._rng.choice(
            [
                one
                for one in self._site.processes.values()
                if serves in ('', one.serves)
            ]
        )
        if self._busy_until_s.get(process.name, 0.0) > now_s:
            return None
        if process.serves == 'control':
            if self._control_free_s > now_s:
                return None
            self._control_free_s = now_s + seconds + CATCH_UP_S
        self._busy_until_s[process.name] = now_s + seconds + 0.5
        return process

    def _kill(self) -> str:
        down_s = self._rng.uniform(0.0, 2.0)
        process = self._draw_process(down_s)
        if process is None:
            return ''
        self._disturb(down_s + 1.0)
        self._site.kill(process)
        self._later(down_s, lambda: self._site.start(process))
        return f'kill {process.name} for {down_s:.1f} s'

    def _pause(self) -> str:
        for_s = self._rng.uniform(0.2, 5.0)
        process = self._draw_process(for_s)
        if process is None:
            return ''
        self._disturb(for_s + 1.0)
        self._site.signal(process, signal.SIGSTOP)
        self._later(for_s, lambda: self._site.signal(process, signal.SIGCONT))
        return f'pause {process.name} for {for_s:.1f} s'

    def _stop(self) -> str:
        process = self._draw_process(site_module.STOP_S)
        if process is None:
            return ''
        began_s = time.monotonic()
        if process.serves != 'edge':
            self._disturb(1.0)
        self._site.stop(process)
        self._site.ledger.stops.append(
            ledger_module.Stop(
                entry=process.name,
                began_s=began_s,
                ended_s=time.monotonic(),
            )
        )
        self._site.start(process)
        return f'stop {process.name}'

    def _draw_relay(self) -> tuple[str, relay_module.Relay]:
        return self._rng.choice(sorted(self._site.relays.items()))

    def _cut(self) -> str:
        name, relay = self._draw_relay()
        for_s = self._rng.uniform(0.3, 4.0)
        modes = [one for one in relay_module.Mode if one.value != 'pass']
        mode = self._rng.choice(modes)
        self._disturb(for_s + 1.0)
        relay.delay_s = self._rng.uniform(0.05, 0.6)
        relay.mode = mode

        def mend() -> None:
            relay.mode = relay_module.Mode.PASS

        self._later(for_s, mend)
        return f'{mode.value} {name} for {for_s:.1f} s'

    def _reset(self) -> str:
        name, relay = self._draw_relay()
        self._disturb(1.0)
        relay.reset()
        return f'reset {name}'

    def _stick(self) -> str:
        name, relay = self._draw_relay()
        self._disturb(6.0)
        relay.stick()
        return f'stick {name}'

    def _wipe(self) -> str:
        process = self._draw_process(2.0, 'control')
        if process is None:
            return ''
        self._disturb(3.0)
        self._site.kill(process)
        self._site.wipe(process)
        self._later(0.5, lambda: self._site.start(process))
        return f'wipe {process.name}'

    def _tear(self) -> str:
        """Kill a replica and leave a torn record behind its log."""
        process = self._draw_process(1.0, 'control')
        if process is None:
            return ''
        self._disturb(2.0)
        self._site.kill(process)
        torn = self._rng.randbytes(self._rng.randint(1, 30))
        with contextlib.suppress(FileNotFoundError):
            log = process.folder / 'data' / 'log'
            with log.open('r+b') as file:
                file.seek(0, 2)
                file.write(torn)
        self._later(0.3, lambda: self._site.start(process))
        return f'tear the log of {process.name}'

    def _step_clock(self) -> str:
        process = self._rng.choice(sorted(self._site.processes))
        offset_s = self._rng.uniform(-30, 30)
        found = self._site.processes[process]
        self._site.step_clock(found, offset_s)
        self._later(3.0, lambda: self._site.step_clock(found, 0.0))
        return f'step the clock of {process} by {offset_s:.1f} s'

    def _reload(self) -> str:
        process = self._site.processes[
            self._rng.choice(sorted(self._site.processes))
        ]
        self._site.signal(process, signal.SIGHUP)
        return f'reload {process.name}'

    def _spoil(self) -> str:
        target = self._rng.choice(self._site.targets)
        for_s = self._rng.uniform(0.5, 3.0)
        self._disturb(for_s)
        target.trouble = self._rng.uniform(0.1, 0.9)

        def mend() -> None:
            target.trouble = 0.0

        self._later(for_s, mend)
        return f'spoil {target.service} {target.id} for {for_s:.1f} s'

    def _leave(self) -> str:
        number = self._rng.randrange(len(self._site.targets))
        name = f'target-{number}'
        if self._busy_until_s.get(name, 0.0) > time.monotonic():
            return ''
        self._busy_until_s[name] = time.monotonic() + 5.0
        self._disturb(5.0)
        self._site.targets[number].drain()
        self._later(4.0, lambda: self._site.replace_target(number))
        return f'leave {name}'


# A replica that comes back is behind for this long at most.
CATCH_UP_S = 4.0
