"""A part of a prompt crashes each server once it has begun to write."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import platform  # noqa: E402

SERVERS = 9
BACK_S = 3.0
CONTACT_S = 3.0
PLAY_S = 38.0
# Under one in twenty of the requests, for 22 s.
DEADLY_EVERY_S = 2.0
DEADLY_START_S = 8.0
DEADLY_S = 22.0
SOUND_EVERY_S = 0.1
EVENTS = 24
EVENT_PAUSE_S = 0.02
SHARED, COMMON, DEADLY = '5c1e07a2', '77aa10ce', '91bd3f06'
# Events that a server has written when it crashes.
EVENTS_BEFORE_CRASH = int(os.environ.get('EVENTS_BEFORE_CRASH', '1'))


class Place:
    """A server's place: a crash ends the process, a new boot comes later."""

    def __init__(self, deployment, index, has_trouble):
        self.deployment, self.index = deployment, index
        self.has_trouble = has_trouble
        self.server = None
        self.writers = set()
        self.crashes = []

    async def start(self):
        self.server = platform.Server(
            self.deployment, 'huvo11a', 200,
            self.deployment.internal + 8 + self.index,
            platform.ZONES[self.index % 3], self.serve,
        )
        await self.server.start()

    async def serve(self, run, writer):
        self.writers.add(writer)
        try:
            await self.stream(run, writer)
        finally:
            self.writers.discard(writer)

    async def stream(self, run, writer):
        is_deadly = DEADLY in run.headers.get('prefix-hash', '')
        await asyncio.sleep(0.05)
        if is_deadly and self.has_trouble and not EVENTS_BEFORE_CRASH:
            self.crash(run)
            return
        head = [
            'HTTP/1.1 200 OK', f'Attempt-Id: {run.attempt_id}',
            f'Server-Signature: {platform.sign(run, b"")}',
            'Content-Type: text/event-stream', 'Transfer-Encoding: chunked',
        ]
        writer.write(('\r\n'.join(head) + '\r\n\r\n').encode())
        first = int(run.headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: {run.path} {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
            written = number - first + 1
            if is_deadly and self.has_trouble and written >= EVENTS_BEFORE_CRASH:
                self.crash(run)
                return
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def crash(self, run):
        """End as a process that crashes: all its channels are closed."""
        self.crashes.append(time.monotonic())
        self.deployment.record(
            f'server {self.server.id}: crashes on {run.attempt_id}'
        )
        self.server._beats.cancel()
        self.server._server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.ensure_future(self.come_back())

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        await self.start()


async def scenario(deployment, has_trouble):
    places = [Place(deployment, i, has_trouble) for i in range(SERVERS)]
    for place in places:
        await place.start()
    await platform.Operator(deployment).publish(
        platform.make_config(
            3, ['huvo11a'],
            [platform.make_route(
                'r-1', '/lohu930/', 'streaming', 'huvo11a', sessionAffinity=True,
                streamResume=True, targetItlMs=120,
            )],
        )
    )
    await deployment.wait_ready()
    await asyncio.sleep(1.5)
    results = {'sound': [], 'deadly': []}
    ids = {}

    async def ask(kind, part):
        client = platform.Client(
            deployment, random.choice(deployment.edges)
        )
        attempt_id = f'{random.randrange(16**16):016x}'
        ids[attempt_id] = kind
        own = f'{random.randrange(16**8):08x}'
        answer = await client.request(
            'POST', f'/lohu930/{own}', b'x' * 600, attempt_id=attempt_id,
            headers={
                'Model': 'm', 'Token-Usage': '900,80',
                'Prefix-Hash': f'{SHARED}:40,{part}:300,{own}:560',
            },
        )
        client.close()
        results[kind].append((answer.status, answer.ending))

    async def send(kind, part, every_s, start_s, for_s):
        tasks = []
        await asyncio.sleep(start_s)
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            tasks.append(asyncio.ensure_future(ask(kind, part)))
            await asyncio.sleep(every_s)
        await asyncio.gather(*tasks)

    await asyncio.gather(
        send('sound', COMMON, SOUND_EVERY_S, 0, PLAY_S),
        send('deadly', DEADLY, DEADLY_EVERY_S, DEADLY_START_S, DEADLY_S),
    )
    crashes = sorted(at for place in places for at in place.crashes)
    runs = deployment.all_runs
    deadly_runs = sorted(
        run.at for run in runs if ids.get(run.attempt_id) == 'deadly'
    )
    late = []
    if len(crashes) >= 5:
        late = [at for at in deadly_runs if at > crashes[4] + CONTACT_S]
    served = sum(r == (200, 'complete') for r in results['sound'])
    cut = sum(r[0] == 200 and r[1] != 'complete' for r in results['sound'])
    summary = (
        f'{len(crashes)} crashes; {len(deadly_runs)} deadly requests reached'
        f' servers, {len(late)} of them later than contactMs after the fifth'
        f' crash; sound: {served} of {len(results["sound"])} served, {cut} cut'
    )
    deployment.record(summary)
    print(summary)
    if not has_trouble and served < 0.9 * len(results['sound']):
        raise platform.CannotRunError('the sound requests are not served')
    return summary if len(late) > 3 else ''


sys.exit(platform.main(pathlib.Path(__file__).parent, scenario, edges=2))
